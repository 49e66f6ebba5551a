import Emittery from 'emittery';
import {
	freshnessLimitMs, isFresh, lookupKey, nextTickMs,
} from '../../common/access/access.js';
import type {AccessEffect, AccessEvent, AccessState} from '../../common/access/access.js';
import {changedSchema} from '../../common/control/messages.js';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {
	NotifyEffect, ReplyToken, VmId, WithoutTime,
} from '../../common/core/types.js';
import type {ReceivedList} from '../../common/forwarding/server-list-feed.js';
import {AccessService} from '../../common/services/access-service.js';
import type {
	AccessEvents, AcquireResult, Acquisition, AllowanceResult, Identity, View,
} from '../../common/services/access-service.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {DeadlineTimer} from '../deadline-timer.js';
import {digestKey, equalDigests, isKeyShaped} from './keys.js';

/** Slack for a reply that the slice gives at the request's deadline. */
const replySlackMs = 1000;
type AccessInput = WithoutTime<AccessEvent>;

/** The part of `Runtime` that hosts the access slice. */
export type AccessHost = {
	dispatch(event: AccessInput): void;
	ask<T>(makeEvent: (token: ReplyToken) => AccessInput, timeoutMs: number): Promise<T>;
};

export type AccessClientOptions = {
	readonly host: AccessHost;
	/** The slice's state, which the client only reads. */
	readonly state: AccessState;
	readonly network: PeerNetwork;
	readonly clock: Clock;
};

/** Keys, freshness and allowances of an entry process, from the control VMs. */
export class AccessClient extends AccessService implements Disposable {
	override readonly events = new Emittery<AccessEvents>();
	private readonly _timer: DeadlineTimer;
	/** Time of day at which the last confirmed sync was sent. */
	private _confirmedWallMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: AccessClientOptions) {
		super();
		const {network, host, state, clock} = _options;
		this._timer = new DeadlineTimer(clock, () => nextTickMs(state), () => {
			host.dispatch({type: 'access/tick'});
		});
		network.handle('control/changed', changedSchema, (_from, {revision, servers}) => {
			this._dispatch({type: 'access/changed', revision, servers});
		});
		this._timer.update();
	}

	override get view(): View | undefined {
		return this._options.state.published;
	}

	/** The control VM that confirmed the last sync, while the proof is recent. */
	get leader(): VmId | undefined {
		return this.isFresh() ? this._options.state.target : undefined;
	}

	/** Executes the effect `access/request`. */
	request({to, message, seq, timeoutMs}: Extract<AccessEffect, {type: 'access/request'}>): void {
		const {network, state, clock} = this._options;
		const askedWallMs = clock.wallMs();
		const sent = async () => {
			try {
				const body = await network.request(to, message, timeoutMs);
				return {type: 'access/reply', seq, body} as const;
			} catch {
				return {type: 'access/failed', seq} as const;
			}
		};

		void (async () => {
			const outcome = await sent();
			const {confirmedMs} = state;
			this._dispatch(outcome);
			this._confirmedWallMs = state.confirmedMs === confirmedMs ? this._confirmedWallMs : askedWallMs;
		})();
	}

	/** Executes `notify` effects whose topic starts with `access/`. */
	notify({topic, value}: NotifyEffect): void {
		switch (topic) {
			case 'access/view-changed': {
				void this.events.emit('onViewChanged', value as View);
				break;
			}

			case 'access/key-withdrawn': {
				void this.events.emit('onKeyWithdrawn', value as string);
				break;
			}

			case 'access/servers': {
				void this.events.emit('onServers', value as ReceivedList);
				break;
			}

			default: {
				// Other topics are for other listeners.
				break;
			}
		}
	}

	override isFresh(): boolean {
		const {state, clock} = this._options;
		return isFresh(state, clock.nowMs()) && clock.wallMs() - this._confirmedWallMs <= freshnessLimitMs;
	}

	override authenticate(key: string): Identity | undefined {
		if (!isKeyShaped(key)) {
			return undefined;
		}

		const digest = digestKey(key);
		const identity = lookupKey(this._options.state, digest);
		const known = identity && this._options.state.view.digestsById.get(identity.keyId);
		return known !== undefined && equalDigests(known, digest) ? identity : undefined;
	}

	override async acquire(tenant: string, tokens: number, maxWaitMs: number): Promise<AcquireResult> {
		let id = 0;
		try {
			const asked = this._options.host.ask<AllowanceResult>(token => {
				id = token;
				return {
					type: 'access/acquire', token, tenant, tokens, maxWaitMs,
				};
			}, maxWaitMs + replySlackMs);
			this._timer.update();
			const result = await asked;
			return result.ok ? {ok: true, acquisition: {id, tenant, tokens}} : result;
		} catch {
			return {ok: false, code: 'control-unreachable'};
		}
	}

	override settle({id, tenant, tokens}: Acquisition, used: number): void {
		this._dispatch({
			type: 'access/settle', tenant, acquired: tokens, used, acquisition: id,
		});
	}

	dispose(): void {
		this._timer.dispose();
	}

	private _dispatch(event: AccessInput): void {
		this._options.host.dispatch(event);
		this._timer.update();
	}
}
