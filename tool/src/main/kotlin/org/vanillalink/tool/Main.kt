/*
 * Entry point of the operators' tool `vanillalink`.
 */
package org.vanillalink.tool

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs one command. */
@Suppress("SpreadOperator")
fun main(arguments: Array<String>) {
    exitProcess(commandLine().execute(*arguments))
}

/** The command line as operators use it. */
fun commandLine(): CommandLine = CommandLine(VanillalinkCommand()).setCaseInsensitiveEnumValuesAllowed(true)
