/*
 * Names for the parties and the loans of admission.
 */
package org.vanillalink.admission

import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId

/** One run of a daemon's process; only this run can use the units that it borrowed. */
data class Holder(
    val daemon: DaemonId,
    val boot: BootId,
)

/** One loan. The borrower chooses it and never uses it for two loans, so a doubled request can't lend twice. */
data class LoanId(
    val holder: Holder,
    val sequence: Long,
)
