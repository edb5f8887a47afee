/*
 * Entry point of the overhead measurement, which needs real processes; `bin/measure-overhead` starts them.
 */
package org.vanillalink.measure.overhead

import picocli.CommandLine
import kotlin.system.exitProcess

/** Measures what a daemon adds to a call. */
@Suppress("SpreadOperator")
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(OverheadCommand()).execute(*arguments))
}
