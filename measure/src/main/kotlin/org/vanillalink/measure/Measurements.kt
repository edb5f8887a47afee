/*
 * All measurements that `bin/measure` knows, in the order in which it runs them.
 */
package org.vanillalink.measure

/** The one list of measurements. */
object Measurements {
    /** All measurements; with [long] those that have a long form run that. */
    fun all(long: Boolean): List<Measurement> = listOf(
        GroupMeasurement(long),
        AdmissionMeasurement(),
        OverloadMeasurement(),
        PrefixMeasurement(),
        FailureDomainMoveMeasurement(),
        DispatchMeasurement(),
        ConfigurationMeasurement(),
        CapacityMeasurement(long),
    )
}
