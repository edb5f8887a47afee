/*
 * Stand-ins for the system's environment: the platform, a model engine and a plain service, each as a separate process.
 * They are used by the tests and `bin/quickstart` and are not part of the product.
 */
package org.vanillalink.standins

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs one stand-in until the process is terminated. */
@Suppress("SpreadOperator")
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(StandInsCommand()).execute(*arguments))
}
