/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The operators' command line. Each verb calls remote procedures of operator.thrift and prints the result.

#include "ConfigurationFile.h"
#include "OperatorConnection.h"

#include <LibCore/Daemon.h>
#include <LibCore/Identity.h>
#include <LibCore/Json.h>
#include <LibCore/Settings.h>

#include <cstdio>
#include <fmt/core.h>
#include <fstream>
#include <iostream>
#include <sstream>

using CrankCtl::OperatorConnection;

namespace
{

/** Exit codes of crankctl, in place of those of Core::ExitCode; listed in docs/OPERATING.md. */
enum class CommandExit {
    Success = 0,
    Failure = 1,
    Usage = 2,
    /** The change conflicts with a later revision, is invalid, or reuses the id of another change. */
    Refused = 3,
    /** The outcome of the change is unknown; it has to be resent with the same --change-id. */
    Unknown = 4,
};

/** Values of the command-line settings; each verb uses some of them. */
struct CommandSettings {
    std::vector<Core::Endpoint> control;
    std::int64_t timeoutMilliseconds{0};
    std::string changeId;
    std::int64_t baseRevision{0};
    std::int64_t revision{0};
    std::int64_t limit{0};
    std::string dryRun;
};

/** A verb with its help and the function that runs it. */
struct Verb {
    const char *name;
    const char *arguments;
    const char *help;
    std::function<CommandExit(const OperatorConnection &connection, const CommandSettings &settings, const std::vector<std::string> &arguments)> run;
};

}

static CommandExit fail(const Core::Error &error)
{
    fmt::print(stderr, "{}\n", error.message);
    return CommandExit::Failure;
}

static CommandExit usage(const std::string &message)
{
    fmt::print(stderr, "{}\n", message);
    return CommandExit::Usage;
}

static const char *applyStatusName(Protocol::ApplyStatus::type status)
{
    switch (status) {
    case Protocol::ApplyStatus::ACCEPTED:
        return "accepted";
    case Protocol::ApplyStatus::CONFLICT:
        return "conflict";
    case Protocol::ApplyStatus::INVALID:
        return "invalid";
    case Protocol::ApplyStatus::CHANGE_ID_REUSED:
        return "change-id-reused";
    case Protocol::ApplyStatus::NOT_LEADER:
        return "not-leader";
    case Protocol::ApplyStatus::UNKNOWN:
        return "unknown";
    case Protocol::ApplyStatus::WOULD_BE_ACCEPTED:
        return "would-be-accepted";
    }
    return "unknown";
}

static CommandExit reportOutcome(const Protocol::ApplyOutcome &outcome, const std::string &changeId)
{
    fmt::print("status={} revision={} change_id={}\n", applyStatusName(outcome.status), outcome.revision, changeId);
    for (const auto &fault : outcome.faults) {
        fmt::print("fault {}: {}\n", fault.path, fault.message);
    }
    for (const auto &difference : outcome.differences) {
        fmt::print("{}\n", difference);
    }
    switch (outcome.status) {
    case Protocol::ApplyStatus::ACCEPTED:
    case Protocol::ApplyStatus::WOULD_BE_ACCEPTED:
        return CommandExit::Success;
    case Protocol::ApplyStatus::UNKNOWN:
    case Protocol::ApplyStatus::NOT_LEADER:
        return CommandExit::Unknown;
    default:
        return CommandExit::Refused;
    }
}

// The leader's current revision, which a change is based on if --base-revision is not set.
static Core::Result<std::int64_t> currentRevision(const OperatorConnection &connection)
{
    std::int64_t revision = 0;
    const auto outcome = connection.callLeader([&revision](Protocol::OperatorClient &client) -> std::string {
        Protocol::ShowReply reply;
        client.show(reply, 0);
        revision = reply.revision;
        return reply.confirmed ? std::string() : reply.leaderAddress.empty() ? "?" : reply.leaderAddress;
    });
    return outcome.map([&revision] {
        return revision;
    });
}

static CommandExit sendChange(const OperatorConnection &connection, const CommandSettings &settings, Protocol::ApplyRequest request)
{
    request.changeId = settings.changeId.empty() ? Core::makeUuidVersion7(Core::systemClock().wallTime()) : settings.changeId;
    request.dryRun = settings.dryRun == "yes";
    request.baseRevision = settings.baseRevision;
    if (settings.baseRevision < 0) {
        const auto revision = currentRevision(connection);
        if (!revision.has_value()) {
            return fail(revision.error());
        }
        request.baseRevision = revision.value();
    }
    Protocol::ApplyOutcome outcome;
    // The change is resent if its answer is lost. The id makes this safe, since the leader accepts each change id only once.
    const auto sent = connection.callLeader([&request, &outcome](Protocol::OperatorClient &client) -> std::string {
        client.apply(outcome, request);
        const bool mustResend = outcome.status == Protocol::ApplyStatus::NOT_LEADER || outcome.status == Protocol::ApplyStatus::UNKNOWN;
        return !mustResend ? std::string() : outcome.leaderAddress.empty() ? "?" : outcome.leaderAddress;
    });
    if (!sent.has_value()) {
        fmt::print(stderr, "change_id={} {}\n", request.changeId, sent.error().message);
        return CommandExit::Unknown;
    }
    return reportOutcome(outcome, request.changeId);
}

static CommandExit apply(const OperatorConnection &connection, const CommandSettings &settings, const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1) {
        return usage("apply needs one FILE");
    }
    std::ifstream file(arguments[0]);
    std::stringstream content;
    content << file.rdbuf();
    if (!file) {
        return usage("cannot read " + arguments[0]);
    }
    auto configuration = CrankCtl::configurationFromText(content.str());
    if (!configuration.has_value()) {
        return usage(arguments[0] + ": " + configuration.error().message);
    }
    Protocol::ApplyRequest request;
    request.configuration = std::move(configuration.value());
    return sendChange(connection, settings, std::move(request));
}

static CommandExit rollback(const OperatorConnection &connection, const CommandSettings &settings, const std::vector<std::string> &arguments)
{
    const auto revision = arguments.size() == 1 ? Core::parseInteger(arguments[0], 1, INT64_MAX) : Core::failure(Core::ErrorKind::InvalidInput, "");
    if (!revision.has_value()) {
        return usage("rollback needs one REVISION");
    }
    Protocol::ApplyRequest request;
    request.__set_rollbackTo(revision.value());
    return sendChange(connection, settings, std::move(request));
}

static CommandExit show(const OperatorConnection &connection, const CommandSettings &settings, const std::vector<std::string> &)
{
    Protocol::ShowReply reply;
    const auto outcome = connection.callLeader([&settings, &reply](Protocol::OperatorClient &client) -> std::string {
        client.show(reply, settings.revision);
        return reply.confirmed ? std::string() : reply.leaderAddress.empty() ? "?" : reply.leaderAddress;
    });
    if (!outcome.has_value()) {
        return fail(outcome.error());
    }
    if (!reply.found) {
        return fail({.kind = Core::ErrorKind::NotFound, .message = fmt::format("revision {} is not kept", reply.revision)});
    }
    fmt::print(stderr, "revision={}\n", reply.revision);
    fmt::print("{}\n", Core::toText(CrankCtl::configurationToJson(reply.configuration), 2));
    return CommandExit::Success;
}

static CommandExit history(const OperatorConnection &connection, const CommandSettings &settings, const std::vector<std::string> &)
{
    std::vector<Protocol::HistoryEntry> entries;
    const auto outcome = connection.callOne(connection.instances().front(), [&settings, &entries](Protocol::OperatorClient &client) {
        client.history(entries, static_cast<std::int32_t>(settings.limit));
    });
    if (!outcome.has_value()) {
        return fail(outcome.error());
    }
    for (const auto &entry : entries) {
        fmt::print("revision={} base={} accepted_ms={} change_id={}\n", entry.revision, entry.baseRevision, entry.acceptedAtMilliseconds, entry.changeId);
        for (const auto &difference : entry.differences) {
            fmt::print("    {}\n", difference);
        }
    }
    return CommandExit::Success;
}

static void printStatus(const Protocol::ControlStatus &status)
{
    fmt::print("instance={} role={} term={} commit_index={} revision={} claims={} confirmed={} initialised={} leader={} storage_failure=\"{}\"\n",
        status.instanceName,
        status.role,
        status.term,
        status.commitIndex,
        status.revision,
        status.claims,
        status.confirmed ? "yes" : "no",
        status.initialised ? "yes" : "no",
        status.leaderAddress,
        status.storageFailure);
    for (const auto &entry : status.entries) {
        fmt::print("    entry={} confirmed_revision={} last_seen_ms={}\n", entry.entryName, entry.confirmedRevision, entry.lastSeenMillisecondsAgo);
    }
}

static CommandExit status(const OperatorConnection &connection, const CommandSettings &, const std::vector<std::string> &)
{
    bool anyConfirmed = false;
    for (const auto &instance : connection.instances()) {
        Protocol::ControlStatus reply;
        const auto outcome = connection.callOne(instance, [&reply](Protocol::OperatorClient &client) {
            client.status(reply);
        });
        if (outcome.has_value()) {
            printStatus(reply);
            anyConfirmed = anyConfirmed || reply.confirmed;
        } else {
            fmt::print("instance at {} does not answer: {}\n", instance.toString(), outcome.error().message);
        }
    }
    return anyConfirmed ? CommandExit::Success : CommandExit::Failure;
}

static CommandExit dump(const OperatorConnection &connection, const CommandSettings &, const std::vector<std::string> &)
{
    for (const auto &instance : connection.instances()) {
        std::string document;
        const auto outcome = connection.callOne(instance, [&document](Protocol::OperatorClient &client) {
            client.dump(document);
        });
        if (!outcome.has_value()) {
            return fail(outcome.error());
        }
        fmt::print("{}\n", document);
    }
    return CommandExit::Success;
}

static CommandExit drain(const OperatorConnection &connection, const CommandSettings &, const std::vector<std::string> &)
{
    if (connection.instances().size() != 1) {
        return usage("drain needs exactly one instance in --control");
    }
    const auto outcome = connection.callOne(connection.instances().front(), [](Protocol::OperatorClient &client) {
        client.drain();
    });
    if (!outcome.has_value()) {
        return fail(outcome.error());
    }
    fmt::print("status=draining\n");
    return CommandExit::Success;
}

static CommandExit bootstrap(const OperatorConnection &connection, const CommandSettings &, const std::vector<std::string> &)
{
    Protocol::Membership initialMembers;
    for (const auto &instance : connection.instances()) {
        Protocol::ControlStatus reply;
        const auto outcome = connection.callOne(instance, [&reply](Protocol::OperatorClient &client) {
            client.status(reply);
        });
        if (!outcome.has_value()) {
            return fail(outcome.error());
        }
        if (reply.initialised) {
            // An earlier bootstrap was interrupted. Its list of initial members is used, since every member must get the same list.
            initialMembers = reply.membership;
            break;
        }
        initialMembers.members.push_back(reply.identity);
        initialMembers.members.back().voter = true;
    }
    for (const auto &instance : connection.instances()) {
        Protocol::MemberOutcome reply;
        const auto outcome = connection.callOne(instance, [&initialMembers, &reply](Protocol::OperatorClient &client) {
            client.bootstrap(reply, initialMembers);
        });
        if (!outcome.has_value()) {
            return fail(outcome.error());
        }
        if (reply.status != Protocol::MemberStatus::DONE) {
            fmt::print(stderr, "{}: {}\n", instance.toString(), reply.message);
            return CommandExit::Refused;
        }
    }
    fmt::print("status=founded members={}\n", initialMembers.members.size());
    return CommandExit::Success;
}

static CommandExit changeMember(const OperatorConnection &connection, const Protocol::MemberChange &change)
{
    Protocol::MemberOutcome reply;
    const auto outcome = connection.callLeader([&change, &reply](Protocol::OperatorClient &client) -> std::string {
        client.changeMember(reply, change);
        return reply.status != Protocol::MemberStatus::NOT_LEADER ? std::string() : reply.leaderAddress.empty() ? "?" : reply.leaderAddress;
    });
    if (!outcome.has_value()) {
        return fail(outcome.error());
    }
    const bool done = reply.status == Protocol::MemberStatus::DONE;
    const bool refused = reply.status == Protocol::MemberStatus::REFUSED;
    fmt::print("status={} {}\n", done ? "done" : refused ? "refused" : "unknown", reply.message);
    return done ? CommandExit::Success : refused ? CommandExit::Refused : CommandExit::Unknown;
}

static CommandExit listMembers(const OperatorConnection &connection)
{
    Protocol::ControlStatus reply;
    const auto outcome = connection.callLeader([&reply](Protocol::OperatorClient &client) -> std::string {
        client.status(reply);
        return reply.confirmed ? std::string() : reply.leaderAddress.empty() ? "?" : reply.leaderAddress;
    });
    if (!outcome.has_value()) {
        return fail(outcome.error());
    }
    for (const auto &member : reply.membership.members) {
        fmt::print("name={} zone={} voter={} peer={} entry={} operator={} storage_id={}\n",
            member.name,
            member.zone,
            member.voter ? "yes" : "no",
            member.peerAddress,
            member.entryAddress,
            member.operatorAddress,
            member.storageId);
    }
    return CommandExit::Success;
}

static CommandExit members(const OperatorConnection &connection, const CommandSettings &, const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        return listMembers(connection);
    }
    if (arguments.size() != 2) {
        return usage("members takes nothing, or add OPERATOR-ADDRESS, promote NAME, or remove NAME");
    }
    Protocol::MemberChange change;
    if (arguments[0] == "add") {
        const auto endpoint = Core::Endpoint::parse(arguments[1]);
        if (!endpoint.has_value()) {
            return usage(endpoint.error().message);
        }
        Protocol::ControlStatus reply;
        const auto outcome = connection.callOne(endpoint.value(), [&reply](Protocol::OperatorClient &client) {
            client.status(reply);
        });
        if (!outcome.has_value()) {
            return fail(outcome.error());
        }
        change.kind = Protocol::MemberChangeKind::ADD;
        change.member = reply.identity;
    } else if (arguments[0] == "promote" || arguments[0] == "remove") {
        change.kind = arguments[0] == "promote" ? Protocol::MemberChangeKind::PROMOTE : Protocol::MemberChangeKind::REMOVE;
        change.member.name = arguments[1];
    } else {
        return usage("members knows add, promote and remove");
    }
    return changeMember(connection, change);
}

static const std::vector<Verb> &verbs()
{
    static const std::vector<Verb> table{
        {"apply", "FILE", "Makes the configuration in FILE the current one. Uses --change-id, --base-revision, --dry-run.", apply},
        {"rollback", "REVISION", "Makes an earlier revision's content the current one, as a new revision.", rollback},
        {"show", "", "Prints the current configuration, or that of --revision.", show},
        {"history", "", "Prints the latest changes, at most --limit.", history},
        {"status", "", "Prints the state of each control instance and the revision that each entry instance has confirmed.", status},
        {"members", "[add OPERATOR-ADDRESS | promote NAME | remove NAME]", "Lists or changes the control instances that hold the log.", members},
        {"bootstrap", "", "Bootstraps the log with the instances of --control as its initial members. Needed once, before any other verb.", bootstrap},
        {"drain", "", "Drains the one control instance of --control: it transfers leadership, if it has it, and exits.", drain},
        {"dump", "", "Prints each control instance's whole state as JSON.", dump},
    };
    return table;
}

static void printVerbs()
{
    fmt::print("\nVerbs:\n");
    for (const auto &verb : verbs()) {
        fmt::print("  {} {}\n      {}\n", verb.name, verb.arguments, verb.help);
    }
    fmt::print("\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 outcome unknown (resend with the same --change-id).\n");
}

static void declareSettings(Core::Settings &settings, CommandSettings &values)
{
    settings.addEndpoints({.name = "control", .valueName = "IP:PORT,…", .help = "Operator ports of the control instances.", .required = true}, values.control);
    settings.addInteger(
        {.name = "timeout-ms", .valueName = "N", .help = "Timeout of one call.", .defaultValue = "5000"}, values.timeoutMilliseconds, 1, 600'000);
    settings.addText({.name = "change-id", .valueName = "TEXT", .help = "Id of the change; a new one is made when it is empty."}, values.changeId);
    settings.addInteger(
        {.name = "base-revision", .valueName = "N", .help = "Revision that the change was made from; -1: the current one.", .defaultValue = "-1"},
        values.baseRevision,
        -1,
        INT64_MAX);
    settings.addChoice({.name = "dry-run", .valueName = "yes|no", .help = "Only reports what the outcome of the change would be.", .defaultValue = "no"},
        {"yes", "no"},
        values.dryRun);
    settings.addInteger(
        {.name = "revision", .valueName = "N", .help = "Revision to show; 0: the current one.", .defaultValue = "0"}, values.revision, 0, INT64_MAX);
    settings.addInteger(
        {.name = "limit", .valueName = "N", .help = "Maximum number of changes in the history.", .defaultValue = "20"}, values.limit, 1, 100'000);
}

int main(int argumentCount, char **arguments)
{
    CommandSettings values;
    Core::Settings settings("crankctl", "the operators' command line. Usage: crankctl [settings] VERB [arguments]");
    declareSettings(settings, values);
    const auto rest = settings.parse(argumentCount, arguments);
    if (!rest.has_value()) {
        return static_cast<int>(usage(rest.error().message));
    }
    if (settings.helpRequested()) {
        fmt::print("{}", settings.helpText());
        printVerbs();
        return static_cast<int>(CommandExit::Success);
    }
    if (rest->empty()) {
        return static_cast<int>(usage("a verb is missing; see --help"));
    }
    const std::vector<std::string> verbArguments(rest->begin() + 1, rest->end());
    for (const auto &verb : verbs()) {
        if (rest->front() != verb.name) {
            continue;
        }
        if (!verbArguments.empty() && verbArguments.front() == "--help") {
            fmt::print("crankctl {} {}\n    {}\n", verb.name, verb.arguments, verb.help);
            return static_cast<int>(CommandExit::Success);
        }
        const OperatorConnection connection(values.control, std::chrono::milliseconds(values.timeoutMilliseconds));
        return static_cast<int>(verb.run(connection, values, verbArguments));
    }
    return static_cast<int>(usage("unknown verb \"" + rest->front() + "\"; see --help"));
}
