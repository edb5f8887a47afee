/*
 * The tool's exit codes.
 */
package org.vanillalink.tool

/** What the process's exit code tells. */
enum class ExitCode(
    val number: Int,
) {
    DONE(0),
    FAILED(1),
    USAGE(2),
    REFUSED(3),
    UNREACHABLE(4),
    PARTIAL(5),
}
