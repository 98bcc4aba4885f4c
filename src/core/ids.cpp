#include "toucanlever/core/ids.hpp"

#include <algorithm>
#include <cstdio>
#include <random>
#include <xxhash.h>

namespace toucanlever
{
namespace
{

constexpr int incarnation_dots = 2;
constexpr int job_id_dots = 3;

bool has_dots(std::string const& text, int dots)
{
    return std::count(text.begin(), text.end(), '.') == dots;
}

} // namespace

std::string random_token()
{
    std::random_device device;
    char text[9];
    std::snprintf(text, sizeof text, "%08x", device());
    return text;
}

std::string make_incarnation(std::string const& domain, std::string const& name)
{
    return domain + "." + name + "." + random_token();
}

std::string make_job_id(std::string const& incarnation, std::uint64_t sequence)
{
    return incarnation + "." + std::to_string(sequence);
}

std::string incarnation_of_job(std::string const& job_id)
{
    if (!has_dots(job_id, job_id_dots))
    {
        return {};
    }
    return job_id.substr(0, job_id.rfind('.'));
}

std::string domain_of_incarnation(std::string const& incarnation)
{
    if (!has_dots(incarnation, incarnation_dots))
    {
        return {};
    }
    return incarnation.substr(0, incarnation.find('.'));
}

std::string name_of_incarnation(std::string const& incarnation)
{
    if (!has_dots(incarnation, incarnation_dots))
    {
        return {};
    }
    auto first = incarnation.find('.') + 1;
    return incarnation.substr(first, incarnation.rfind('.') - first);
}

std::uint64_t stable_hash(std::string const& text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::string rendezvous_pick(
    std::string const& item, std::vector<std::string> const& members)
{
    std::string best;
    std::uint64_t best_score = 0;
    for (std::string const& member : members)
    {
        std::uint64_t score = stable_hash(item + "|" + member);
        bool wins =
            score > best_score || (score == best_score && member > best);
        if (best.empty() || wins)
        {
            best = member;
            best_score = score;
        }
    }
    return best;
}

std::map<std::string, std::string> assign_evenly(
    std::set<std::string> const& items, std::vector<std::string> const& members)
{
    std::map<std::string, std::string> assigned;
    if (members.empty())
    {
        return assigned;
    }
    std::size_t max_per_member =
        (items.size() + members.size() - 1) / members.size();
    std::map<std::string, std::size_t> counts;
    for (std::string const& item : items)
    {
        std::vector<std::string> candidates;
        for (std::string const& member : members)
        {
            if (counts[member] < max_per_member)
            {
                candidates.push_back(member);
            }
        }
        std::string owner = rendezvous_pick(item, candidates);
        ++counts[owner];
        assigned[item] = owner;
    }
    return assigned;
}

} // namespace toucanlever
