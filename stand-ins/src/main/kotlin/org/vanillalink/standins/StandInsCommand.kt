/*
 * The stand-ins' command line.
 */
package org.vanillalink.standins

import org.vanillalink.standins.caller.CallerCommand
import org.vanillalink.standins.deployment.DeploymentCommand
import org.vanillalink.standins.engine.EngineCommand
import org.vanillalink.standins.plain.PlainServiceCommand
import org.vanillalink.standins.platform.PlatformCommand
import picocli.CommandLine.Command

/** The root command. */
@Command(
    name = "stand-ins",
    description = ["Stand-ins for the platform, model engines and plain services."],
    subcommands = [
        DeploymentCommand::class,
        PlatformCommand::class,
        EngineCommand::class,
        PlainServiceCommand::class,
        CallerCommand::class,
    ],
    mixinStandardHelpOptions = true,
)
class StandInsCommand
