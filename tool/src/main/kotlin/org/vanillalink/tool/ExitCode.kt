/*
 * The tool's exit codes.
 */
package org.vanillalink.tool

/** The process's exit codes; picocli itself exits with 2 on an invalid command line. */
enum class ExitCode(
    val number: Int,
) {
    /** The command succeeded and its output is complete. */
    DONE(0),

    /** A failure that no other code covers. */
    FAILED(1),

    /** The command line is invalid or a file that it names is unreadable. */
    USAGE(2),

    /** A daemon refused an invalid or conflicting edit. This attempt changed nothing. */
    REFUSED(3),

    /** No daemon sent a usable response. An edit that may have reached a daemon may have taken effect. */
    UNREACHABLE(4),

    /** Some daemons could not be queried; they are named on the error stream. */
    PARTIAL(5),

    /** The condition that `--watch` waits for did not hold at every daemon before the timeout. */
    NOT_YET(6),
}
