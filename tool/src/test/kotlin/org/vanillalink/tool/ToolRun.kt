/*
 * Runs the tool's command line and captures its output.
 */
package org.vanillalink.tool

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** The exit code of a run and what it printed to the standard output and error streams. */
data class ToolRun(
    val exitCode: Int,
    val output: String,
    val errors: String,
)

/** Runs the tool with [arguments] in this process; replaces the standard streams meanwhile. */
fun runTool(vararg arguments: String): ToolRun {
    val output = ByteArrayOutputStream()
    val errors = ByteArrayOutputStream()
    val originalStreams = System.out to System.err
    System.setOut(PrintStream(output))
    System.setErr(PrintStream(errors))
    try {
        return ToolRun(commandLine().execute(*arguments), output.toString(), errors.toString())
    } finally {
        System.setOut(originalStreams.first)
        System.setErr(originalStreams.second)
    }
}
