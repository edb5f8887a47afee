/*
 * The soak's entry point.
 */
package org.vanillalink.soak

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs the soak with the given arguments. */
@Suppress("SpreadOperator")
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(SoakCommand()).execute(*arguments))
}
