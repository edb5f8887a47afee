/*
 * Entry point of the daemon `vanillalinkd`.
 */
package org.vanillalink.daemon

import org.vanillalink.daemon.logs.CountingAsyncAppender
import org.vanillalink.daemon.settings.DaemonCommand
import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs a daemon until it is told to end. */
@Suppress("SpreadOperator")
fun main(arguments: Array<String>) {
    val code = CommandLine(DaemonCommand()).execute(*arguments)
    CountingAsyncAppender.writeOut()
    exitProcess(code)
}
