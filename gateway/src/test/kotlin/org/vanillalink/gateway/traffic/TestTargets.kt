package org.vanillalink.gateway.traffic

import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.targets.TargetEntry

internal fun targetEntry(
    id: String,
    service: ServiceName = ServiceName("desk"),
) = TargetEntry(
    id = HostId(id),
    service = service,
    endpoint = Endpoint("127.0.0.1", 1),
    failureDomain = FailureDomainId("ikeja"),
    fabricDomain = null,
    isLeaving = false,
    coldMilliseconds = 0,
    bornAt = 1,
    model = null,
    staged = emptySet(),
    membership = null,
    slots = 6,
)
