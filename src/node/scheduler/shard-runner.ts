import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {CountEffect, VmIdentity} from '../../common/core/types.js';
import {createScheduler, reduceScheduler} from '../../common/scheduler/scheduler.js';
import type {SchedulerOptions, SchedulerState} from '../../common/scheduler/scheduler.js';
import type {SchedulerEffect, SchedulerEvent, SchedulerReply} from '../../common/scheduler/types.js';
import type {DecodeFailure, PlacementRequest} from '../../common/services/scheduler-client.js';
import {ReducerRuntime} from '../runtime.js';

/** Interval between ticks, in milliseconds. An overdue request is refused after at most one interval. */
const tickIntervalMs = 20;
/** Time in addition to a request's maximum wait after which the runner stops waiting for the reply, in milliseconds. */
const replyMarginMs = 500;

export type RunnerServices = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Increments a counter metric. */
	readonly count: (effect: CountEffect) => void;
};

/** Runs the scheduler reducer of one pool shard and its periodic tick. */
export class ShardRunner implements Disposable {
	readonly state: SchedulerState;
	readonly runtime: ReducerRuntime<SchedulerEvent, SchedulerEffect>;
	private readonly _timer: NodeJS.Timeout;

	constructor(platform: RunnerServices, options: Partial<SchedulerOptions>) {
		this.state = createScheduler(options);
		this.runtime = new ReducerRuntime(event => reduceScheduler(this.state, event), platform.clock);
		this.runtime.on('count', platform.count);
		this.runtime.on('log', ({level, message, fields}) => {
			platform.logger.log(level, message, fields);
		});
		this._timer = setInterval(() => {
			this.runtime.dispatch({type: 'scheduler/tick'});
		}, tickIntervalMs);
		this._timer.unref();
	}

	/** Places a request. Resolves with a placement or a refusal when the request leaves the queue, or with `not-holder` without a lease. */
	async place(owner: VmIdentity, req: PlacementRequest): Promise<SchedulerReply> {
		return this.runtime.request(token => ({
			type: 'scheduler/place', token, owner, req,
		}), req.maxWaitMs + replyMarginMs);
	}

	async replace(owner: VmIdentity, reservation: string, failure: DecodeFailure): Promise<SchedulerReply> {
		return this.runtime.request(token => ({
			type: 'scheduler/replace', token, owner, reservation, failure,
		}), replyMarginMs);
	}

	dispose(): void {
		clearInterval(this._timer);
		this.runtime.dispatch({type: 'scheduler/lease', epoch: undefined});
	}
}
