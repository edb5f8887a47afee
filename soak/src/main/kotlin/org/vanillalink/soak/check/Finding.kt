/*
 * What breaks a rule.
 */
package org.vanillalink.soak.check

/** A broken [rule], or another thing that must not happen, of the request [id] at [daemon]. */
data class Finding(
    val rule: String,
    val atMs: Long,
    val daemon: String?,
    val target: String?,
    val id: String?,
    val what: String,
    val history: String = "",
)
