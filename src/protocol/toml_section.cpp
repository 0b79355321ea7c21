#include "protocol/toml_section.h"

#include "protocol/settings_file.h"
#include "transport/endpoint.h"

namespace burlpoint::protocol {

TomlSection TomlSection::section(const char* key) const {
    const auto* child = table_[key].as_table();
    if (!child) throw InvalidSettings(pathOf(key) + ": expected a table");
    return {*child, pathOf(key)};
}

std::optional<TomlSection> TomlSection::maybeSection(const char* key) const {
    return table_[key] ? std::optional(section(key)) : std::nullopt;
}

std::vector<TomlSection> TomlSection::sections(const char* key) const {
    std::vector<TomlSection> out;
    const auto node = table_[key];
    if (!node) return out;
    const auto* array = node.as_array();
    if (!array) throw InvalidSettings(pathOf(key) + ": expected an array of tables");
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto path = pathOf(key) + "[" + std::to_string(i) + "]";
        const auto* child = (*array)[i].as_table();
        if (!child) throw InvalidSettings(path + ": expected a table");
        out.emplace_back(*child, path);
    }
    return out;
}

std::string TomlSection::text(const char* key) const {
    const auto value = table_[key].value_exact<std::string>();
    if (!value || value->empty()) throw InvalidSettings(pathOf(key) + ": expected a non-empty string");
    return *value;
}

std::string TomlSection::textOr(const char* key, std::string defaultValue) const {
    return table_[key] ? text(key) : std::move(defaultValue);
}

std::vector<std::string> TomlSection::texts(const char* key) const {
    const auto* array = table_[key].as_array();
    if (!array || array->empty())
        throw InvalidSettings(pathOf(key) + ": expected a non-empty array of non-empty strings");
    std::vector<std::string> out;
    for (const auto& element : *array) {
        const auto value = element.value_exact<std::string>();
        if (!value || value->empty())
            throw InvalidSettings(pathOf(key) + ": expected a non-empty array of non-empty strings");
        out.push_back(*value);
    }
    return out;
}

std::string TomlSection::address(const char* key) const {
    auto value = text(key);
    try {
        transport::parseEndpoint(value);
    } catch (const std::invalid_argument& error) {
        throw InvalidSettings(pathOf(key) + ": " + error.what());
    }
    return value;
}

double TomlSection::number(const char* key, double least, double most) const {
    const auto node = table_[key];
    if (!node.is_number()) throw InvalidSettings(pathOf(key) + ": expected a number");
    const double value = *node.value<double>();
    if (!(value >= least && value <= most))  // true for NaN as well
        throw InvalidSettings(pathOf(key) + ": must be between " + std::to_string(least) + " and " +
                              std::to_string(most));
    return value;
}

double TomlSection::numberOr(const char* key, double least, double most, double defaultValue) const {
    return table_[key] ? number(key, least, most) : defaultValue;
}

}  // namespace burlpoint::protocol
