/*
 * Entry point of `bin/measure`.
 */
package org.vanillalink.measure

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs measurements and prints their figures. */
@Suppress("SpreadOperator")
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(MeasureCommand()).execute(*arguments))
}
