/** What processes tell each other about the speed of servers: a few bytes per server that differs from the others, along with gossip. */
import {z} from 'zod';
import {minUsedWeight} from './engine-speed.js';
import type {Server, ServerDirectory} from './server-directory.js';
import type {ServerKey} from './types.js';

/** Maximum number of servers in one message. */
const maxServersPerMessage = 16;
/** Change of a server's long-run speed that is told, as a difference of logarithms: a factor of 1.25. A server that is like the others is not told. */
const minToldChange = Math.log(1.25);
/** Number of members that a process tells a change; each of them to which it is news tells it on. */
const transmissionsPerChange = 4;
/** Interval at which the servers are searched for changes, in milliseconds. */
const searchIntervalMs = 500;
/** Resolution of the logarithms in a message. */
const stepsPerUnit = 100;

/** Long-run speeds of servers: the hash of the server's key, the logarithm of its slowness in hundredths, and the number of samples. */
export const speedNewsSchema = z.strictObject({
	type: z.literal('forwarding/speeds'),
	speeds: z.array(z.tuple([z.int().min(0), z.int().min(-1000).max(1000), z.int().min(1).max(100)])).min(1).max(maxServersPerMessage),
});

export type SpeedNewsMessage = z.infer<typeof speedNewsSchema>;

/** Selects the speeds that this process tells others, and applies those that others tell. */
export class SpeedNews {
	/** Speeds that were told last, by server, with the number of messages that contained them. */
	private readonly _told = new Map<ServerKey, {log: number; sends: number}>();
	private _searchedMs = Number.NEGATIVE_INFINITY;

	/** Returns the speeds to send with the next gossip message; undefined if there is no news. */
	take(directory: Pick<ServerDirectory, 'servers' | 'get'>, nowMs: number): SpeedNewsMessage | undefined {
		if (nowMs - this._searchedMs >= searchIntervalMs) {
			this._searchedMs = nowMs;
			this._search(directory, nowMs);
		}

		const speeds: SpeedNewsMessage['speeds'] = [];
		for (const [key, item] of this._told) {
			const server = item.sends < transmissionsPerChange && speeds.length < maxServersPerMessage ? directory.get(key) : undefined;
			if (server) {
				item.sends++;
				const {log, weight} = server.speed.steadyAt(nowMs);
				speeds.push([hashKey(key), Math.round(log * stepsPerUnit), Math.max(1, Math.round(weight))]);
			}
		}

		return speeds.length > 0 ? {type: 'forwarding/speeds', speeds} : undefined;
	}

	/** Merges what another process tells. Ignores servers that this process does not know. */
	apply({speeds}: SpeedNewsMessage, servers: Iterable<Server>, nowMs: number): void {
		const byHash = new Map([...servers].map(server => [hashKey(server.key), server]));
		for (const [hash, steps, weight] of speeds) {
			const server = byHash.get(hash);
			if (server) {
				const log = steps / stepsPerUnit;
				const own = server.speed.steadyAt(nowMs);
				server.speed.merge({log, weight}, nowMs);
				if (own.weight >= minUsedWeight && Math.abs(own.log - log) > minToldChange) {
					// Contradicts what is being told, also if this process has taken the server to be like the others and told nothing.
					this._tell(server, nowMs);
				}
			}
		}
	}

	/** Puts a server at the end of what is to be told, so that no server keeps the others from being told. */
	private _tell({key, speed}: Server, nowMs: number): void {
		this._told.delete(key);
		this._told.set(key, {log: speed.steadyAt(nowMs).log, sends: 0});
	}

	private _search(directory: Pick<ServerDirectory, 'servers' | 'get'>, nowMs: number): void {
		for (const key of this._told.keys()) {
			if (!directory.get(key)) {
				this._told.delete(key);
			}
		}

		for (const server of directory.servers) {
			const {log, weight} = server.speed.steadyAt(nowMs);
			if (weight >= minUsedWeight && Math.abs(log - (this._told.get(server.key)?.log ?? 0)) > minToldChange) {
				this._tell(server, nowMs);
			}
		}
	}
}

/** Returns a 32-bit hash of a server's key (FNV-1a). Servers whose hashes are equal would share their speed, which does little harm. */
function hashKey(key: ServerKey): number {
	let hash = 0x81_1C_9D_C5;
	for (let i = 0; i < key.length; i++) {
		/* eslint-disable no-bitwise, unicorn/prefer-code-point -- the hash is defined on 32-bit words; keys are ASCII */
		hash = Math.imul(hash ^ key.charCodeAt(i), 0x01_00_01_93) >>> 0;
		/* eslint-enable no-bitwise, unicorn/prefer-code-point */
	}

	return hash;
}
