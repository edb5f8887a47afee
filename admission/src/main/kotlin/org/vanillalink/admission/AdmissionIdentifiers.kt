/*
 * Identifiers of loan holders and of loans.
 */
package org.vanillalink.admission

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId

/** One process instance of a daemon; only this instance can use the units that it borrowed. */
data class Holder(
    val daemon: DaemonId,
    val boot: BootId,
)

/** Identifies a loan. The holder assigns it and never reuses it, so a duplicated request can't lend units twice. */
data class LoanId(
    val holder: Holder,
    val sequence: Long,
)
