/*
 * Stand-ins for what surrounds the system: the platform, a model engine and a plain service, each as a process of its
 * own. They serve the tests and `bin/quickstart` and are not part of the product.
 */
package org.vanillalink.standins

import org.vanillalink.standins.engine.EngineCommand
import org.vanillalink.standins.plain.PlainServiceCommand
import org.vanillalink.standins.platform.PlatformCommand
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** The root command. */
@Command(
    name = "stand-ins",
    description = ["Stand-ins for the platform, model engines and plain services."],
    subcommands = [PlatformCommand::class, EngineCommand::class, PlainServiceCommand::class],
    mixinStandardHelpOptions = true,
)
class StandInsCommand

/** Runs one stand-in until the process is ended. */
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(StandInsCommand()).execute(*arguments))
}
