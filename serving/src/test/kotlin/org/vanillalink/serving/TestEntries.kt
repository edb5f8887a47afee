package org.vanillalink.serving

import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.targets.TargetEntry

internal val IKEJA = FailureDomainId("ikeja")

internal fun entry(
    id: String,
    fabricDomain: String = "ikeja-d0",
    bornAt: Long = 1,
) = TargetEntry(
    id = HostId(id),
    service = ServiceName("writer"),
    endpoint = Endpoint("127.0.0.1", 1),
    failureDomain = IKEJA,
    fabricDomain = fabricDomain,
    isLeaving = false,
    coldMilliseconds = 0,
    bornAt = bornAt,
    model = null,
    staged = emptySet(),
    membership = null,
    slots = 18,
)
