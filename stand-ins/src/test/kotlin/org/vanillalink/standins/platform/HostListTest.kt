package org.vanillalink.standins.platform

import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.HostStatus
import org.vanillalink.store.http.HttpHostList
import org.vanillalink.store.http.PlatformSettings
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpClient
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ServerLimits
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class HostListTest {
    private val loops = NettyEventLoops(1)
    private val platform =
        InMemoryPlatform(
            listOf(
                parseHost("ikeja-1,127.0.0.1:9001,ikeja,fabric,MODEL_ENGINE,fenced"),
                parseHost("apapa-1,127.0.0.1:9002,apapa,fabric,MODEL_ENGINE,fenced"),
            ),
        )
    private val server = NettyHttpServer(loops, Endpoint("127.0.0.1", 0), ServerLimits(), PlatformHandler(platform))
    private val testSubject = HttpHostList(NettyHttpClient(loops), PlatformSettings(server.endpoint))

    @AfterTest
    fun close() {
        server.close()
        loops.close()
    }

    @Test
    fun `only hosts of the requested failure domain are returned, also from an unchanged list`() {
        val first = hosts()
        val second = hosts()

        assertEquals(listOf(HostId("ikeja-1")), first)
        assertEquals(first, second)
    }

    @Test
    fun `a changed host status is returned`() {
        hosts()

        platform.setStatus(HostId("ikeja-1"), HostStatus.LEAVING)
        val listed = testSubject.hosts(FailureDomainId("ikeja")).join().getOrNull()

        assertEquals(listOf(HostStatus.LEAVING), listed?.map { it.status })
    }

    private fun hosts() = testSubject
        .hosts(FailureDomainId("ikeja"))
        .join()
        .getOrNull()
        ?.map { it.id }
}
