import {
	handoverSchema, proposeRequestSchema, readRequestSchema, syncRequestSchema,
} from '../../common/control/messages.js';
import type {ControlEvent} from '../../common/control/control.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {ReplyToken, UntimedEvent} from '../../common/core/types.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';

/** Time after which an unanswered request is discarded, in milliseconds. Senders time out earlier, and consensus answers within an election timeout. */
const answerTimeoutMs = 5000;
/** Tick interval of the control slice, in milliseconds. */
const tickIntervalMs = 100;

type ControlInput = UntimedEvent<ControlEvent>;

/** The part of `ReducerRuntime` that hosts the control slice. */
export type ControlHost = {
	dispatch(event: ControlInput): void;
	request<T>(makeEvent: (token: ReplyToken) => ControlInput, timeoutMs: number): Promise<T>;
};

/** Passes proposals, syncs, reads and handovers from other processes to the control slice of a control VM. */
export class ControlServer implements Disposable {
	private readonly _timer: NodeJS.Timeout;

	constructor(network: PeerNetwork, host: ControlHost) {
		network.registerHandler('control/propose', proposeRequestSchema, async (_from, {command}) => host.request(token => ({type: 'control/propose', token, command}), answerTimeoutMs));
		network.registerHandler('control/read', readRequestSchema, async (_from, {query}) => host.request(token => ({type: 'control/read', token, query}), answerTimeoutMs));
		network.registerHandler('control/sync', syncRequestSchema, async (from, request) => host.request(token => ({
			type: 'control/sync', token, from, request,
		}), answerTimeoutMs));
		network.registerHandler('control/handover', handoverSchema, (_from, handover) => {
			host.dispatch({type: 'control/handover', handover});
		});
		this._timer = setInterval(() => {
			host.dispatch({type: 'control/tick'});
		}, tickIntervalMs);
	}

	dispose(): void {
		clearInterval(this._timer);
	}
}
