/*
 * Entry point of the operators' tool `vanillalink`.
 */
package org.vanillalink.tool

import picocli.CommandLine
import kotlin.system.exitProcess

@Suppress("SpreadOperator")
fun main(arguments: Array<String>) {
    exitProcess(commandLine().execute(*arguments))
}

/** Creates the command line; enum values are accepted in either case. */
fun commandLine(): CommandLine = CommandLine(VanillalinkCommand()).setCaseInsensitiveEnumValuesAllowed(true)
