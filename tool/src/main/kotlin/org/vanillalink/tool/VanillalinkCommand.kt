/*
 * The root of the tool's command line.
 */
package org.vanillalink.tool

import org.vanillalink.tool.configuration.ConfigurationCommand
import org.vanillalink.tool.domain.DomainCommand
import org.vanillalink.tool.drain.DrainCommand
import org.vanillalink.tool.status.DaemonsCommand
import org.vanillalink.tool.status.GroupsCommand
import org.vanillalink.tool.status.TargetsCommand
import org.vanillalink.tool.timeline.TimelineCommand
import picocli.AutoComplete.GenerateCompletion
import picocli.CommandLine.Command

/** The root command `vanillalink`. */
@Command(
    name = "vanillalink",
    description = ["Inspects and operates vanillalink daemons."],
    subcommands = [
        ConfigurationCommand::class,
        DomainCommand::class,
        DaemonsCommand::class,
        GroupsCommand::class,
        TargetsCommand::class,
        TimelineCommand::class,
        DrainCommand::class,
        GenerateCompletion::class,
    ],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = [
        "0:success, nothing left out",
        "1:failed",
        "2:invalid command line or unreadable file",
        "3:refused by a daemon: invalid or conflicting",
        "4:no usable response; an edit may have taken effect",
        "5:partial: some daemons could not be queried",
        "6:not yet in force at every daemon (--watch)",
    ],
    mixinStandardHelpOptions = true,
    version = ["vanillalink 0.1.0"],
)
class VanillalinkCommand
