import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {CountEffect, VmIdentity} from '../../common/core/types.js';
import {createScheduler, reduceScheduler} from '../../common/scheduler/scheduler.js';
import type {SchedulerOptions, SchedulerState} from '../../common/scheduler/scheduler.js';
import type {SchedulerEffect, SchedulerEvent, SchedulerReply} from '../../common/scheduler/types.js';
import type {DecodeFailure, PlaceRequest} from '../../common/services/scheduler-client.js';
import {Runtime} from '../runtime.js';

/** Interval between ticks, in milliseconds. Bounds the delay after which an overdue request is refused. */
const tickIntervalMs = 20;
/** Time beyond a request's maximum wait after which the runner stops waiting for the reply, in milliseconds. */
const replyMarginMs = 500;

export type RunnerPlatform = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Increments a counter metric. */
	readonly count: (effect: CountEffect) => void;
};

/** Runs the scheduler reducer of one pool shard and its periodic tick. */
export class ShardRunner implements Disposable {
	readonly state: SchedulerState;
	readonly runtime: Runtime<SchedulerEvent, SchedulerEffect>;
	private readonly _timer: NodeJS.Timeout;

	constructor(platform: RunnerPlatform, options: Partial<SchedulerOptions>) {
		this.state = createScheduler(options);
		this.runtime = new Runtime(event => reduceScheduler(this.state, event), platform.clock);
		this.runtime.on('count', platform.count);
		this.runtime.on('log', ({level, message, fields}) => {
			platform.logger.log(level, message, fields);
		});
		this._timer = setInterval(() => {
			this.runtime.dispatch({type: 'scheduler/tick'});
		}, tickIntervalMs);
		this._timer.unref();
	}

	/** Resolves when the request leaves the queue. */
	async place(owner: VmIdentity, req: PlaceRequest): Promise<SchedulerReply> {
		return this.runtime.ask(token => ({
			type: 'scheduler/place', token, owner, req,
		}), req.maxWaitMs + replyMarginMs);
	}

	async replace(owner: VmIdentity, reservation: string, failure: DecodeFailure): Promise<SchedulerReply> {
		return this.runtime.ask(token => ({
			type: 'scheduler/replace', token, owner, reservation, failure,
		}), replyMarginMs);
	}

	dispose(): void {
		clearInterval(this._timer);
		this.runtime.dispatch({type: 'scheduler/lease', epoch: undefined});
	}
}
