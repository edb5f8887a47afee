/*
 * The root of the tool's command line.
 */
package org.vanillalink.tool

import org.vanillalink.tool.configuration.ConfigurationCommand
import org.vanillalink.tool.timeline.TimelineCommand
import picocli.CommandLine.Command

/** The root command. */
@Command(
    name = "vanillalink",
    description = ["Drives vanillalink's daemons."],
    subcommands = [ConfigurationCommand::class, TimelineCommand::class],
    mixinStandardHelpOptions = true,
    version = ["vanillalink 0.1.0"],
)
class VanillalinkCommand
