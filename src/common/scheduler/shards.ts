import type {SharedConfiguration} from '../configuration/types.js';
import {hashString} from '../membership/rendezvous.js';
import type {EngineSpec, Shard} from './types.js';

/** Maximum number of engines per shard, which bounds the cost of a placement: on a full shard it takes about 0.1 ms, so 100 requests/s use about 1% of a core. */
const maxEnginesPerShard = 32;

/** Returns the name of the lease whose holder is the scheduler of the shard. */
export function leaseName({service, shard}: Shard): string {
	return `scheduler/${service}/${shard}`;
}

/** Returns the upstreams of a service in the order of `sortKey`. */
function enginesOfService(cfg: SharedConfiguration, service: string) {
	return Object.entries(cfg.upstreams)
		.filter(([, upstream]) => upstream.service === service)
		.map(([name, upstream]) => ({name, upstream}))
		.sort((a, b) => sortKey(a) < sortKey(b) ? -1 : 1);
}

/** Returns a sort key that orders engines by role, zone and name, so that round-robin assignment gives every shard engines of each role and zone. */
function sortKey({name, upstream}: {name: string; upstream: SharedConfiguration['upstreams'][string]}): string {
	return `${upstream.role}/${upstream.zone}/${name}`;
}

/** Returns the number of shards of a service's pool. A pool of at most `maxEnginesPerShard` engines has one shard. */
export function shardCount(cfg: SharedConfiguration, service: string): number {
	return Math.max(1, Math.ceil(enginesOfService(cfg, service).length / maxEnginesPerShard));
}

/** Returns the pool shards of all model services. */
export function allShards(cfg: SharedConfiguration): Shard[] {
	return Object.entries(cfg.services)
		.filter(([, {kind}]) => kind === 'model')
		.flatMap(([service]) => Array.from({length: shardCount(cfg, service)}, (_, shard) => ({service, shard})));
}

/** Returns the shard that places a request. The hash of the request id spreads requests evenly, so each shard gets the same mix of customers. */
export function shardForRequest(cfg: SharedConfiguration, service: string, requestId: string): Shard {
	return {service, shard: hashString(requestId) % shardCount(cfg, service)};
}

/** Returns the engines of a shard. The engines of a service are assigned to its shards round robin. */
export function shardEngines(cfg: SharedConfiguration, {service, shard}: Shard, drainedEngines: ReadonlySet<string>): EngineSpec[] {
	const count = shardCount(cfg, service);
	const specs: EngineSpec[] = [];
	for (const [i, {name, upstream}] of enginesOfService(cfg, service).entries()) {
		const {role, zone, slots, cacheBlocks, linkRate} = upstream;
		if (i % count === shard && role !== 'plain') {
			specs.push({
				name, zone, role, slots, cacheBlocks, linkRate, isDrained: drainedEngines.has(name),
			});
		}
	}

	return specs;
}

/** Returns the weights of the customers whose weight is not 1. */
export function customerWeights(cfg: SharedConfiguration): ReadonlyMap<string, number> {
	return new Map(Object.entries(cfg.tenants).filter(([, {weight}]) => weight !== 1).map(([name, {weight}]) => [name, weight]));
}
