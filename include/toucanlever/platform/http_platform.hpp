/// The platform's services over HTTP and JSON.
///
///     POST /v1/transactions   {"checks":[...],"writes":[...],
///                              "deletes":[...]}
///                             200 | 409 {"key","value","version"}
///     GET  /v1/rows?prefix=P&after=K&limit=N   {"rows":[...],"more":bool}
///     GET  /v1/instances      {"instances":[...]}
///                             ETag; 304 if it matches If-None-Match
#pragma once

#include "toucanlever/core/dependency_watch.hpp"
#include "toucanlever/http/client.hpp"
#include "toucanlever/platform/table_service.hpp"

namespace toucanlever
{

/// Client of the platform's three services at one base address.
class http_platform final : public table_service, public instance_service
{
public:
    http_platform(
        http_client& client, std::string const& address, milliseconds timeout);

    void commit(transaction const& work, commit_callback done) override;
    void scan(std::string const& prefix, rows_callback done) override;
    bool is_silent() const override;
    void list(list_callback done) override;

private:
    /// Sends a query and records its outcome in the dependency watch.
    void fetch(http_query call, http_client::query_callback done);
    void update_watch(bool answered, http_response const& response,
        std::string const& problem);
    instance_list handle_list(query_result const& result);
    void scan_page(std::string const& prefix, std::string const& after,
        std::vector<table_row> found, rows_callback done);

    http_client& client;
    dependency_watch watch;
    std::string base;
    milliseconds timeout;
    // The last list received with an ETag, and that ETag.
    instance_list last_list;
    std::string list_tag;
};

} // namespace toucanlever
