#include "protocol/policy.h"

#include <charconv>
#include <pugixml.hpp>
#include <set>
#include <string_view>

namespace burlpoint::protocol {

namespace {

constexpr double kDayS = 86'400;

std::string tagOf(const pugi::xml_node& node) { return std::string("<").append(node.name()).append(">"); }

/// The element's text as a number from `least` to `most`; throws `InvalidSettings` for any other text.
double number(const pugi::xml_node& node, double least, double most) {
    const std::string_view text = node.text().get();
    const auto* end = text.data() + text.size();
    double value = 0;
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const bool isInRange = value >= least && value <= most;  // false for NaN
    if (error != std::errc() || stop != end || !isInRange)
        throw InvalidSettings(tagOf(node) + ": expected a number in [" + std::to_string(least) + ", " +
                              std::to_string(most) + "]");
    return value;
}

Seconds seconds(const pugi::xml_node& node, double least, double most) {
    return Seconds(number(node, least, most));
}

/// Sets the field of the policy that the element names; returns false if the element is unknown.
bool readElement(const pugi::xml_node& node, Policy& policy) {
    const std::string_view name = node.name();
    if (name == "leadership-s")
        policy.leaderLease = seconds(node, 1, 600);
    else if (name == "idle-keep-s")
        policy.idleRetention = seconds(node, 0, kDayS);
    else if (name == "boot-keep")
        policy.bootRetention = number(node, 0, 1000);
    else if (name == "minimum-keep-s")
        policy.minRetention = seconds(node, 0, kDayS);
    else if (name == "backlog-horizon-s")
        policy.backlogHorizon = seconds(node, 1, kDayS);
    else if (name == "fetch-start-s")
        policy.initialFetchEstimate = seconds(node, 0, 600);
    else if (name == "longest-passed-over-s")
        policy.starvationThreshold = seconds(node, 1, kDayS);
    else if (name == "preempt")
        policy.preempt = number(node, 0, 1) != 0;
    else
        return false;
    return true;
}

}  // namespace

Policy parsePolicy(const std::string& text) {
    pugi::xml_document document;
    const auto result = document.load_string(text.c_str());
    if (!result) throw InvalidSettings(std::string("malformed XML: ") + result.description());
    const auto root = document.document_element();
    if (std::string_view(root.name()) != "burlpoint")
        throw InvalidSettings(tagOf(root) + ": the root element must be <burlpoint>");
    Policy policy;
    std::set<std::string_view> seen;
    for (const auto& node : root.children()) {
        if (node.type() != pugi::node_element) continue;
        if (seen.contains(node.name())) throw InvalidSettings(tagOf(node) + ": duplicate element");
        if (!readElement(node, policy)) throw InvalidSettings(tagOf(node) + ": unknown element");
        seen.insert(node.name());
    }
    return policy;
}

Policy readPolicy(const std::string& path) { return readSettingsFile(path, parsePolicy); }

}  // namespace burlpoint::protocol
