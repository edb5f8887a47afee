/*
 * The operator's configuration of the deployment.
 */
package org.vanillalink.standins.deployment

internal object SampleConfiguration {
    /** A route to a model with four members a group, a route to a plain service, and a workspace with an API key. */
    const val JSON =
        """{"version":1,"routes":[
        {"name":"drafts","host":"grit.example","prefix":"/drafts/","kind":"streaming","timeoutMs":15000,"goalMs":500,
         "gapTargetMs":300,"service":"brief-writer","attempts":2,"resumable":true},
        {"name":"orders","host":"grit.example","prefix":"/orders/","kind":"non_idempotent","timeoutMs":3000,
         "goalMs":100,"service":"dispatch-desk","attempts":2}],
        "services":[{"name":"brief-writer","engine":{"slots":18,"formMs":50,"loadsPerS":4,
         "models":[{"name":"brief","size":4,"share":1.0,"pace":1.0,"loadS":0.5,"warmS":0.1}]}},
         {"name":"dispatch-desk"}],
        "limits":{},"tenants":[{"name":"gritworks","apiKeys":["quickstart-key"]}]}"""
}
