/// Names of incarnations and jobs.
///
/// An incarnation is one run of a scheduler: DOMAIN.NAME.RANDOM. A job id is
/// the accepting incarnation and a number: DOMAIN.NAME.RANDOM.SEQUENCE, so
/// that anybody can tell whom to ask about it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// A new incarnation's name.
std::string make_incarnation(
    std::string const& domain, std::string const& name);

std::string make_job_id(std::string const& incarnation, std::uint64_t sequence);

/// The incarnation that accepted a job; empty when the id is malformed.
std::string incarnation_of_job(std::string const& job_id);

/// The domain and the instance name in an incarnation; empty when malformed.
std::string domain_of_incarnation(std::string const& incarnation);
std::string name_of_incarnation(std::string const& incarnation);

/// Eight random hexadecimal digits.
std::string random_token();

/// A hash that is the same in every process.
std::uint64_t stable_hash(std::string const& text);

/// The member with the highest hash together with `item` (rendezvous
/// hashing); empty for no members.
std::string rendezvous_pick(
    std::string const& item, std::vector<std::string> const& members);

/// Gives each item to a member: its highest-ranked one by rendezvous hashing
/// that does not have its even part of the items yet. Items are taken in
/// order, so that equal inputs give equal results everywhere.
std::map<std::string, std::string> assign_evenly(
    std::set<std::string> const& items,
    std::vector<std::string> const& members);

} // namespace toucanlever
