/*
 * The tool's exit codes.
 */
package org.vanillalink.tool

/** What the process's exit code tells; picocli itself ends with 2 on a wrong command line. */
enum class ExitCode(
    val number: Int,
) {
    /** Done, and nothing was left out. */
    DONE(0),

    /** Something failed that none of the others names. */
    FAILED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** A daemon refused: an invalid or conflicting edit. Nothing was changed by this try. */
    REFUSED(3),

    /** No daemon gave a usable answer. An edit that may have arrived may have taken effect. */
    UNREACHABLE(4),

    /** Some daemons couldn't be asked; they are named on the error stream. */
    PARTIAL(5),

    /** What `--watch` waited for was not true at every daemon in time. */
    NOT_YET(6),
}
