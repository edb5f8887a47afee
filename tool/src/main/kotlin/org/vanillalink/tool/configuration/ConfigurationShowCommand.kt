/*
 * Prints the configuration in force at a daemon.
 */
package org.vanillalink.tool.configuration

import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** `configuration show`. */
@Command(
    name = "show",
    description = ["Prints each section with its version, as the first reachable daemon has it in force."],
    mixinStandardHelpOptions = true,
)
class ConfigurationShowCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    @Option(names = ["--section"], description = ["Print only this section's content."])
    private var section: String? = null

    override fun call(): Int = OperatorsClient(options.secret).use { client ->
        for (daemon in options.daemons) {
            val response = client.get(daemon, "/configuration", ConfigurationMessage::class.java)
            response.onLeft { System.err.println("$daemon: ${it.detail}") }
            response.onRight { return@use print(it).number }
        }
        ExitCode.UNREACHABLE.number
    }

    private fun print(configuration: ConfigurationMessage): ExitCode {
        val requestedSection = section
        if (requestedSection != null) {
            val content =
                configuration.sections[requestedSection]?.content
                    ?: return reportMissing(requestedSection, configuration)
            println(content)
            return ExitCode.DONE
        }
        if (options.output == OutputFormat.JSON) {
            Output.printJson(configuration)
            return ExitCode.DONE
        }
        println("daemon ${configuration.daemon}, revision ${configuration.revision}")
        configuration.sections.forEach { (name, section) ->
            println("$name, version ${section.version}: ${section.content}")
        }
        return ExitCode.DONE
    }

    private fun reportMissing(
        section: String,
        configuration: ConfigurationMessage,
    ): ExitCode {
        System.err.println("${configuration.daemon} has no section '$section' in force")
        return ExitCode.FAILED
    }
}
