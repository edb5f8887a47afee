/*
 * Stand-ins for what surrounds the system: the platform, a model engine and a plain service, each as a process of its
 * own. They serve the tests and `bin/quickstart` and are not part of the product.
 */
package org.vanillalink.standins

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs one stand-in until the process is ended. */
@Suppress("SpreadOperator")
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(StandInsCommand()).execute(*arguments))
}
