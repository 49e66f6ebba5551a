import type {Server} from '../../common/forwarding/server-directory.js';
import type {ForwardServices} from './forward-call.js';
import type {ServerCall} from './fleet-protocol.js';

/** Bound on a reservation call, in milliseconds; engines answer it without doing work. */
const holdTimeoutMs = 150;
/** Bound on a call that frees what an engine keeps, in milliseconds; the engine frees it by itself soon after. */
const releaseTimeoutMs = 1000;

/** Memory that a decode engine reserves for a request. */
export type Held = {readonly server: Server; readonly hold: string; readonly tokens: number; isUsed: boolean};
/** The result of a prompt on a prefill engine. */
export type Prefilled = {readonly server: Server; readonly handle: string; isUsed: boolean};

/** `refused`: the engine has no room; `failed`: its answer makes no sense. */
export type Reservation = {readonly kind: 'held'; readonly held: Held} | {readonly kind: 'refused' | 'failed'};

/** What engines keep for one request; what was not used is freed. */
export class EngineMemory {
	held: Held | undefined;
	prefilled: Prefilled | undefined;

	constructor(private readonly _services: ForwardServices, private readonly _requestId: string) {}

	/**
	Reserves memory on a decode engine that has `spareTokens` beside it. The reservation counts in the directory until it is freed. Rejects with `CallError` if the engine does not answer.
	*/
	async reserve(server: Server, {tokens, ttlMs, spareTokens}: {readonly tokens: number; readonly ttlMs: number; readonly spareTokens: number}): Promise<Reservation> {
		const {fleet, protocol, clock} = this._services;
		fleet.directory.begin(server, tokens);
		let isHeld = false;
		try {
			if (spareTokens > 0 && !await this._hasRoom(server, tokens + spareTokens)) {
				fleet.directory.refusedReservation(server, clock.nowMs());
				return {kind: 'refused'};
			}

			const {status, text} = await fleet.adapter(server).call(protocol.holdCall(tokens, ttlMs), holdTimeoutMs);
			const hold = status === 200 ? protocol.readHold(text) : undefined;
			if (hold === undefined) {
				fleet.directory.refusedReservation(server, clock.nowMs());
				if (status === 503) {
					return {kind: 'refused'};
				}

				fleet.recordFailure(server, {isUnreachable: false, detail: `reservation answered with status ${status}`});
				return {kind: 'failed'};
			}

			isHeld = true;
			return {
				kind: 'held', held: {
					server, hold, tokens, isUsed: false,
				},
			};
		} finally {
			if (!isHeld) {
				fleet.directory.end(server, tokens);
			}
		}
	}

	/** A reservation that a request used ends with it. */
	freeHold({server, hold, tokens, isUsed}: Held): void {
		this._services.fleet.directory.end(server, tokens);
		if (!isUsed) {
			void this._free(server, this._services.protocol.releaseHoldCall(hold));
		}
	}

	freePrefill({server, handle, isUsed}: Prefilled): void {
		if (!isUsed) {
			void this._free(server, this._services.protocol.releasePrefillCall(handle));
		}
	}

	/** Frees everything. */
	release(): void {
		if (this.held) {
			this.freeHold(this.held);
			this.held = undefined;
		}

		if (this.prefilled) {
			this.freePrefill(this.prefilled);
			this.prefilled = undefined;
		}
	}

	/** Whether the engine would reserve that many tokens; nothing stays reserved. */
	private async _hasRoom(server: Server, tokens: number): Promise<boolean> {
		const {fleet, protocol} = this._services;
		const {status, text} = await fleet.adapter(server).call(protocol.holdCall(tokens, holdTimeoutMs), holdTimeoutMs);
		const hold = status === 200 ? protocol.readHold(text) : undefined;
		if (hold !== undefined) {
			await fleet.adapter(server).call(protocol.releaseHoldCall(hold), holdTimeoutMs);
		}

		return hold !== undefined;
	}

	private async _free(server: Server, call: ServerCall): Promise<void> {
		try {
			await this._services.fleet.adapter(server).call(call, releaseTimeoutMs);
		} catch (err) {
			// The engine frees it by itself when its time to live is over.
			this._services.logger.log('info', 'engine memory not freed', {
				requestId: this._requestId, server: server.key, detail: err instanceof Error ? err.message : String(err),
			});
		}
	}
}
