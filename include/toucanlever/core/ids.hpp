/// Identifiers of incarnations and jobs.
///
/// An incarnation is one run of a scheduler: DOMAIN.NAME.RANDOM. A job id is
/// the accepting incarnation and a sequence number,
/// DOMAIN.NAME.RANDOM.SEQUENCE, so that any process can tell which scheduler
/// accepted the job.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// The id of a new incarnation.
std::string make_incarnation(
    std::string const& domain, std::string const& name);

std::string make_job_id(std::string const& incarnation, std::uint64_t sequence);

/// The incarnation that accepted a job; empty when the id is malformed.
std::string incarnation_of_job(std::string const& job_id);

/// The domain and the instance name in an incarnation id; empty when
/// malformed.
std::string domain_of_incarnation(std::string const& incarnation);
std::string name_of_incarnation(std::string const& incarnation);

/// Eight random hexadecimal digits.
std::string random_token();

/// A hash that is the same in every process.
std::uint64_t stable_hash(std::string const& text);

/// The member for which the hash of `item` and the member is highest
/// (rendezvous hashing); empty for no members.
std::string rendezvous_pick(
    std::string const& item, std::vector<std::string> const& members);

/// Assigns each item to a member by rendezvous hashing. No member gets more
/// than items / members (rounded up): a member with that many is excluded for
/// the items that follow. Items are assigned in order, so that every process
/// gets the same result from the same input.
std::map<std::string, std::string> assign_evenly(
    std::set<std::string> const& items,
    std::vector<std::string> const& members);

} // namespace toucanlever
