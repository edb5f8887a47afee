/*
 * Commands on the configuration document.
 */
package org.vanillalink.tool.configuration

import picocli.CommandLine.Command

/** Groups the commands on the configuration. */
@Command(
    name = "configuration",
    description = ["Shows and edits the configuration, section by section."],
    subcommands = [ConfigurationShowCommand::class, ConfigurationApplyCommand::class],
    mixinStandardHelpOptions = true,
)
class ConfigurationCommand
