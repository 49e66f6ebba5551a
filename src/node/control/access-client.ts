import Emittery from 'emittery';
import {
	freshnessLimitMs, isFresh, findIdentity, nextTickMs,
} from '../../common/access/access.js';
import type {AccessEffect, AccessEvent, AccessState} from '../../common/access/access.js';
import {changedSchema} from '../../common/control/messages.js';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {
	NotifyEffect, ReplyToken, VmId, UntimedEvent,
} from '../../common/core/types.js';
import type {ReceivedList} from '../../common/forwarding/server-list-feed.js';
import {AccessService} from '../../common/services/access-service.js';
import type {
	AccessEvents, AcquireResult, Acquisition, AllowanceResult, KeyIdentity, SharedStateView,
} from '../../common/services/access-service.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {DeadlineTimer} from '../deadline-timer.js';
import {digestKey, areDigestsEqual, hasKeyFormat} from './keys.js';

/** Time after a request's maximum wait for which a reply of the access slice is still awaited, in milliseconds; the slice may reply right at the end of that wait. */
const replyMarginMs = 1000;
type AccessInput = UntimedEvent<AccessEvent>;

/** The part of `ReducerRuntime` that hosts the access slice. */
export type AccessHost = {
	dispatch(event: AccessInput): void;
	request<T>(makeEvent: (token: ReplyToken) => AccessInput, timeoutMs: number): Promise<T>;
};

export type AccessClientOptions = {
	readonly host: AccessHost;
	/** State of the access slice, which the client only reads. */
	readonly state: AccessState;
	readonly network: PeerNetwork;
	readonly clock: Clock;
};

/** Gives an entry process access to the view, API keys and token allowances that it syncs with the control VMs. */
export class AccessClient extends AccessService implements Disposable {
	override readonly events = new Emittery<AccessEvents>();
	private readonly _timer: DeadlineTimer;
	/** Wall-clock time at which the last confirmed sync was sent, in milliseconds. The wall clock is used because, unlike the monotonic clock, it advances while the machine is suspended. */
	private _confirmedSyncSentWallMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: AccessClientOptions) {
		super();
		const {network, host, state, clock} = _options;
		this._timer = new DeadlineTimer(clock, () => nextTickMs(state), () => {
			host.dispatch({type: 'access/tick'});
		});
		network.registerHandler('control/changed', changedSchema, (_from, {revision, servers}) => {
			this._dispatch({type: 'access/changed', revision, servers});
		});
		this._timer.rearmIfEarlier();
	}

	override get view(): SharedStateView | undefined {
		return this._options.state.publishedView;
	}

	/** The control VM to which syncs are sent; undefined if the view was not confirmed recently. */
	get leader(): VmId | undefined {
		return this.isFresh() ? this._options.state.target : undefined;
	}

	/** Executes an `access/request` effect: sends a sync to a control VM and dispatches the reply. */
	executeRequest({to, message, seq, timeoutMs}: Extract<AccessEffect, {type: 'access/request'}>): void {
		const {network, state, clock} = this._options;
		const sentWallMs = clock.wallTimeMs();
		const sendRequest = async () => {
			try {
				const body = await network.request(to, message, timeoutMs);
				return {type: 'access/reply', seq, body} as const;
			} catch {
				return {type: 'access/failed', seq} as const;
			}
		};

		void (async () => {
			const replyEvent = await sendRequest();
			const {confirmedMs} = state;
			this._dispatch(replyEvent);
			this._confirmedSyncSentWallMs = state.confirmedMs === confirmedMs ? this._confirmedSyncSentWallMs : sentWallMs;
		})();
	}

	/** Executes a `notify` effect: emits an event if its topic belongs to the access slice, and ignores other topics. */
	notify({topic, value}: NotifyEffect): void {
		switch (topic) {
			case 'access/view-changed': {
				void this.events.emit('onViewChanged', value as SharedStateView);
				break;
			}

			case 'access/key-withdrawn': {
				void this.events.emit('onKeyWithdrawn', value as string);
				break;
			}

			case 'access/servers': {
				void this.events.emit('onServerListReceived', value as ReceivedList);
				break;
			}

			default: {
				// Other topics are handled by other listeners.
				break;
			}
		}
	}

	override isFresh(): boolean {
		const {state, clock} = this._options;
		return isFresh(state, clock.nowMs()) && clock.wallTimeMs() - this._confirmedSyncSentWallMs <= freshnessLimitMs;
	}

	override authenticate(key: string): KeyIdentity | undefined {
		if (!hasKeyFormat(key)) {
			return undefined;
		}

		const digest = digestKey(key);
		const identity = findIdentity(this._options.state, digest);
		const storedDigest = identity && this._options.state.view.digestsByKeyId.get(identity.keyId);
		return storedDigest !== undefined && areDigestsEqual(storedDigest, digest) ? identity : undefined;
	}

	override async acquire(customer: string, tokens: number, maxWaitMs: number): Promise<AcquireResult> {
		let id = 0;
		try {
			const pendingResult = this._options.host.request<AllowanceResult>(token => {
				id = token;
				return {
					type: 'access/acquire', token, tenant: customer, tokens, maxWaitMs,
				};
			}, maxWaitMs + replyMarginMs);
			this._timer.rearmIfEarlier();
			const result = await pendingResult;
			return result.ok ? {ok: true, acquisition: {id, tenant: customer, tokens}} : result;
		} catch {
			return {ok: false, code: 'control-unreachable'};
		}
	}

	override settle({id, tenant: customer, tokens}: Acquisition, used: number): void {
		this._dispatch({
			type: 'access/settle', tenant: customer, acquired: tokens, used, acquisition: id,
		});
	}

	dispose(): void {
		this._timer.dispose();
	}

	private _dispatch(event: AccessInput): void {
		this._options.host.dispatch(event);
		this._timer.rearmIfEarlier();
	}
}
