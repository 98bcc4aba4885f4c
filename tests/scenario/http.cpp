#include "http.hpp"

#include <curl/curl.h>

namespace scenario
{
namespace
{

constexpr int admin_timeout_ms = 20000;

size_t append(char* data, size_t size, size_t count, void* into)
{
    static_cast<std::string*>(into)->append(data, size * count);
    return size * count;
}

} // namespace

json reply::json_body() const
{
    json value = json::parse(this->body, nullptr, false);
    return value.is_discarded() ? json::object() : value;
}

reply call(std::string const& method, std::string const& url,
    std::string const& body,
    std::vector<std::pair<std::string, std::string>> const& headers,
    int timeout_ms)
{
    reply out;
    CURL* handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &append);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &out.body);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    if (method != "GET" && method != "DELETE")
    {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(
            handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    for (auto const& header : headers)
    {
        std::string line = header.first + ": " + header.second;
        list = curl_slist_append(list, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
    CURLcode code = curl_easy_perform(handle);
    if (code == CURLE_OK)
    {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        out.status = static_cast<int>(status);
    }
    out.refused = code == CURLE_COULDNT_CONNECT;
    curl_slist_free_all(list);
    curl_easy_cleanup(handle);
    return out;
}

reply post_admin(
    std::string const& address, std::string const& path, json const& body)
{
    return call(
        "POST", "http://" + address + path, body.dump(), {}, admin_timeout_ms);
}

} // namespace scenario
