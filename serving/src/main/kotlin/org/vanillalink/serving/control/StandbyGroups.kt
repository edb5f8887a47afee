/*
 * Standby groups consist of a single spare and keep its model in memory. They are never opened.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.targets.GroupKey

internal object StandbyGroups {
    private const val MARK = "-standby-"

    fun key(
        failureDomain: FailureDomainId,
        epoch: Long,
    ) = GroupKey("$failureDomain$MARK$epoch", epoch)

    fun isStandby(key: GroupKey): Boolean = MARK in key.group
}
