/*
 * The parent of the configuration commands.
 */
package org.vanillalink.tool.configuration

import org.vanillalink.tool.status.DaemonsCommand
import picocli.CommandLine.Command

/** `configuration`. */
@Command(
    name = "configuration",
    description = ["Shows and edits the configuration, section by section."],
    subcommands = [
        ConfigurationShowCommand::class,
        ConfigurationCheckCommand::class,
        ConfigurationApplyCommand::class,
        DaemonsCommand::class,
        ConfigurationHistoryCommand::class,
    ],
    mixinStandardHelpOptions = true,
)
class ConfigurationCommand
