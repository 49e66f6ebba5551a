import type {SharedConfiguration} from '../configuration/types.js';
import {hashText} from '../membership/rendezvous.js';
import type {EngineSpec, Shard} from './types.js';

/** Engines that one scheduler places on; a placement then takes about 0.1 ms, so a full shard at 100 requests/s uses about 1% of a core. */
const maxShardEngines = 32;

/** Name of the lease that makes its holder the scheduler of the shard. */
export function leaseName({service, shard}: Shard): string {
	return `scheduler/${service}/${shard}`;
}

function enginesOf(cfg: SharedConfiguration, service: string) {
	return Object.entries(cfg.upstreams)
		.filter(([, upstream]) => upstream.service === service)
		.map(([name, upstream]) => ({name, upstream}))
		.sort((a, b) => sortKey(a) < sortKey(b) ? -1 : 1);
}

/** Engines of one zone and role follow each other, so that assigning them round robin gives each shard some of every kind. */
function sortKey({name, upstream}: {name: string; upstream: SharedConfiguration['upstreams'][string]}): string {
	return `${upstream.role}/${upstream.zone}/${name}`;
}

/** Shards of a service's pool: one for small pools. */
export function shardCount(cfg: SharedConfiguration, service: string): number {
	return Math.max(1, Math.ceil(enginesOf(cfg, service).length / maxShardEngines));
}

/** All pool shards of the model services. */
export function allShards(cfg: SharedConfiguration): Shard[] {
	return Object.entries(cfg.services)
		.filter(([, {kind}]) => kind === 'model')
		.flatMap(([service]) => Array.from({length: shardCount(cfg, service)}, (_, shard) => ({service, shard})));
}

/** The shard that places a request; requests spread evenly, so each shard sees every tenant's mix. */
export function shardOf(cfg: SharedConfiguration, service: string, requestId: string): Shard {
	return {service, shard: hashText(requestId) % shardCount(cfg, service)};
}

/** Engines of a shard, assigned round robin. */
export function shardEngines(cfg: SharedConfiguration, {service, shard}: Shard, drained: ReadonlySet<string>): EngineSpec[] {
	const count = shardCount(cfg, service);
	const specs: EngineSpec[] = [];
	for (const [i, {name, upstream}] of enginesOf(cfg, service).entries()) {
		const {role, zone, slots, cacheBlocks, linkRate} = upstream;
		if (i % count === shard && role !== 'plain') {
			specs.push({
				name, zone, role, slots, cacheBlocks, linkRate, isDrained: drained.has(name),
			});
		}
	}

	return specs;
}

/** Weights of the tenants that have one other than 1. */
export function tenantWeights(cfg: SharedConfiguration): ReadonlyMap<string, number> {
	return new Map(Object.entries(cfg.tenants).filter(([, {weight}]) => weight !== 1).map(([name, {weight}]) => [name, weight]));
}
