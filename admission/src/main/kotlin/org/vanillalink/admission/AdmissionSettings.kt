package org.vanillalink.admission

import java.time.Duration

private val DEFAULT_LOAN_DURATION = Duration.ofSeconds(2)
private val DEFAULT_RESEND_AFTER = Duration.ofMillis(200)
private val DEFAULT_REPORT_INTERVAL = Duration.ofMillis(500)

/**
 * Settings of loans and of the ramp. [coldRequests] is the initial bound of a cold target whose report gives none.
 * [loanDuration] is how long a holder keeps idle units, and [resendAfter] how long it waits for a reply before it sends
 * a message again; both only reduce the number of messages, the bound doesn't depend on them. [unitsPerLoan] is the
 * maximum size of one loan. For [coldTransitionDelay] after a target became cold, daemons that have not received this
 * yet may send it requests without units; zero where every request needs a unit.
 */
data class AdmissionSettings(
    val coldRequests: Int = 1,
    val loanDuration: Duration = DEFAULT_LOAN_DURATION,
    val resendAfter: Duration = DEFAULT_RESEND_AFTER,
    val unitsPerLoan: Int = 4,
    val coldTransitionDelay: Duration = Duration.ZERO,
    val ramp: RampSettings = RampSettings(),
)

/**
 * Settings of the ramp. The bound grows by [growthFactor], and at least by one, after [reportsPerStep] reports in which
 * at least [loadedFraction] of it was in use and each request ran at [healthyFraction] or more of the reference rate.
 * Below [healthyFraction] it shrinks by one; below [coldFraction] the target is treated as cold. [reportInterval] is
 * the usual interval between reports, used for estimates only.
 */
data class RampSettings(
    val growthFactor: Double = 1.5,
    val reportsPerStep: Int = 2,
    val loadedFraction: Double = 0.75,
    val healthyFraction: Double = 0.7,
    val coldFraction: Double = 0.35,
    val reportInterval: Duration = DEFAULT_REPORT_INTERVAL,
)
