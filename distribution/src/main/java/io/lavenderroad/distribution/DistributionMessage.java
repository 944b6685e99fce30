package io.lavenderroad.distribution;

/**
 * Message of this module. A process whose frame server also serves other modules passes
 * every message of this type to the handler of its distribution.
 */
public sealed interface DistributionMessage permits DistributionMessages.Attach, DistributionMessages.Accepted,
		DistributionMessages.Redirected, DistributionMessages.Deferred, DistributionMessages.Subscribe,
		DistributionMessages.SubscribeAgain, DistributionMessages.WholeSlice, DistributionMessages.Delta,
		DistributionMessages.Advance, DistributionMessages.ParentHeartbeat, DistributionMessages.ChildHeartbeat,
		DistributionMessages.EndpointUpdate, DistributionMessages.RegistryDigests, DistributionMessages.RegistryRequest,
		DistributionMessages.PathUpdate, DistributionMessages.FloorRequest, DistributionMessages.FloorAnswer,
		DistributionMessages.Report, DistributionMessages.ReportAcknowledged, DistributionMessages.Leaving,
		DistributionMessages.PeerHello, DistributionMessages.Roots, DistributionMessages.RootProgress {

}
