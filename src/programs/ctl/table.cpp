#include "programs/ctl/table.hpp"

#include <algorithm>
#include <iomanip>

namespace toucanlever
{
namespace
{

/// Joins the values of an object within a table cell: 0/32000/1024.
std::string cell_text(nlohmann::json const& value)
{
    if (value.is_object())
    {
        std::string joined;
        for (auto const& item : value.items())
        {
            joined += (joined.empty() ? "" : "/") + item.value().dump();
        }
        return joined;
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_rows(std::ostream& out, nlohmann::json const& rows)
{
    std::vector<std::string> columns;
    std::vector<std::size_t> widths;
    for (auto const& item : rows.front().items())
    {
        columns.push_back(item.key());
        widths.push_back(item.key().size());
    }
    for (nlohmann::json const& row : rows)
    {
        for (std::size_t i = 0; i < columns.size(); ++i)
        {
            std::string text =
                cell_text(row.value(columns[i], nlohmann::json()));
            widths[i] = std::max(widths[i], text.size());
        }
    }
    auto print = [&](auto const& text_of)
    {
        for (std::size_t i = 0; i < columns.size(); ++i)
        {
            out << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << text_of(i);
        }
        out << '\n';
    };
    print([&](std::size_t i) { return columns[i]; });
    for (nlohmann::json const& row : rows)
    {
        print([&](std::size_t i)
            { return cell_text(row.value(columns[i], nlohmann::json())); });
    }
}

} // namespace

void print_table(std::ostream& out, nlohmann::json const& value)
{
    if (value.is_array())
    {
        if (value.empty())
        {
            out << "no entries\n";
            return;
        }
        print_rows(out, value);
        return;
    }
    for (auto const& item : value.items())
    {
        out << std::left << std::setw(16) << item.key()
            << cell_text(item.value()) << '\n';
    }
}

} // namespace toucanlever
