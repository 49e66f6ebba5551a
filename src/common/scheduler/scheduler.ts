import type {PlacementReply} from '../services/scheduler-client.js';
import {
	admissionRefusal, estimateStart, isPastMaxWait, overdueRefusal, createRefusal,
} from './admission.js';
import type {Refusal} from './admission.js';
import {FairQueue} from './fair-queue.js';
import type {QueuedRequest} from './fair-queue.js';
import {
	applyReport, cancelOrphans, isDeadOwner, updateEntryProcesses, pollOwners,
} from './reservation-owners.js';
import type {PlacementChoice} from './placement-policy.js';
import {applyProgress, recordEngineFailure} from './progress.js';
import {
	clearReservations, isSameOwner, moveToDecodeEngine, requestKey, reserve,
} from './state.js';
import type {Reservation, SchedulerState} from './state.js';
import type {NotHolder, SchedulerEffect, SchedulerEvent} from './types.js';

export {createScheduler} from './state.js';
export type {SchedulerOptions, SchedulerState} from './state.js';

type EventOf<Type extends SchedulerEvent['type']> = Extract<SchedulerEvent, {type: Type}>;

const notHolder: NotHolder = {kind: 'not-holder'};

/** Applies one event to the scheduler that places requests on the engines of one pool shard. Updates the state in place and returns the effects to run. */
export function reduceScheduler(state: SchedulerState, event: SchedulerEvent): SchedulerEffect[] {
	switch (event.type) {
		case 'scheduler/tick': {
			return tick(state, event.nowMs);
		}

		case 'scheduler/configure': {
			return configure(state, event);
		}

		case 'scheduler/lease': {
			return changeLease(state, event);
		}

		case 'scheduler/entries': {
			return [...updateEntryProcesses(state, event.entries, event.nowMs), ...dispatch(state, event.nowMs)];
		}

		case 'scheduler/place': {
			return place(state, event);
		}

		case 'scheduler/cancel': {
			return cancelQueuedRequest(state, event);
		}

		case 'scheduler/replace': {
			return replaceDecodeEngine(state, event);
		}

		case 'scheduler/progress': {
			return [...applyProgress(state, event.owner, event.progress, event.nowMs), ...dispatch(state, event.nowMs)];
		}

		case 'scheduler/report': {
			applyReport(state, event);
			return [...endRebuild(state, event.nowMs), ...dispatch(state, event.nowMs)];
		}

		case 'scheduler/load': {
			state.pool.engines.get(event.engine)?.recordLoad(event.load);
			return dispatch(state, event.nowMs);
		}

		case 'scheduler/poll-failed': {
			return recordFailedPoll(state, event.engine);
		}

		case 'scheduler/cache-events': {
			const hasGap = state.pool.prefixIndex.applyEvents(event.engine, event.after, event.reply);
			return hasGap ? [{type: 'count', metric: 'scheduler_cache_event_gaps_total', labels: {engine: event.engine}}] : [];
		}

		case 'scheduler/engine-requests': {
			return cancelOrphans(state, event.engine, event.requests, event.nowMs);
		}
	}
}

function configure(state: SchedulerState, {engines, weights, nowMs}: EventOf<'scheduler/configure'>): SchedulerEffect[] {
	state.pool.configure(engines);
	state.weights = weights;
	return dispatch(state, nowMs);
}

function changeLease(state: SchedulerState, {epoch, nowMs}: EventOf<'scheduler/lease'>): SchedulerEffect[] {
	if (epoch === state.epoch) {
		return [];
	}

	state.epoch = epoch;
	clearReservations(state, nowMs);
	state.rebuild = undefined;
	state.pool.isRebuilding = false;
	if (epoch === undefined) {
		return redirectQueuedRequests(state);
	}

	return epoch === 0 ? [] : startRebuild(state, nowMs);
}

/** Answers every queued request with `not-holder`, so that its entry process asks the new lease holder. */
function redirectQueuedRequests(state: SchedulerState): SchedulerEffect[] {
	const effects = state.queue.queuedRequests().map(({token}) => ({type: 'reply', token, body: notHolder}) as const);
	state.queue = new FairQueue();
	return effects;
}

function startRebuild(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	for (const engine of state.pool.engines.values()) {
		engine.load = undefined;
	}

	state.pool.isRebuilding = true;
	state.rebuild = {untilMs: nowMs + state.options.rebuildTimeoutMs, waitingFor: new Set(state.liveEntries.keys())};
	return [
		{
			type: 'log', level: 'info', message: 'scheduler lease acquired', fields: {epoch: state.epoch},
		},
		...[...state.liveEntries].map(([vm, incarnation]) => ({type: 'scheduler/ask-report', to: {vm, incarnation}}) as const),
	];
}

/** Ends the rebuild if all live entry processes have reported or the time limit is reached. */
function endRebuild(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const {rebuild} = state;
	const isOver = rebuild && (nowMs >= rebuild.untilMs || (rebuild.waitingFor.size === 0 && state.liveEntries.size > 0));
	if (!isOver) {
		return [];
	}

	state.rebuild = undefined;
	state.pool.isRebuilding = false;
	return [{
		type: 'log', level: 'info', message: 'scheduler state rebuilt', fields: {reservations: state.reservations.size, silent: rebuild.waitingFor.size},
	}];
}

function place(state: SchedulerState, event: EventOf<'scheduler/place'>): SchedulerEffect[] {
	const {
		token, owner, req, nowMs,
	} = event;
	if (state.epoch === undefined) {
		return [{type: 'reply', token, body: notHolder}];
	}

	if (isDeadOwner(state, owner)) {
		return [refusalReply(token, createRefusal('overloaded', 0))];
	}

	const existing = findReservation(state, owner, req.requestId);
	if (existing) {
		return [{type: 'reply', token, body: placedReply(state, existing)}];
	}

	const effects = cancelQueuedRequest(state, {...event, type: 'scheduler/cancel', requestId: req.requestId});
	const refused = admit(state, event, effects);
	if (refused) {
		return [...effects, refusalReply(token, refused)];
	}

	effects.push(...dispatch(state, nowMs));
	// A request that may not wait is answered within the same event.
	return req.maxWaitMs > 0 ? effects : [...effects, ...refuseOverdue(state, nowMs)];
}

/** Queues the request or returns a refusal. Sheds less valuable requests if that allows the request to be admitted. */
function admit(state: SchedulerState, {token, owner, req, nowMs}: EventOf<'scheduler/place'>, effects: SchedulerEffect[]): Refusal | undefined {
	let estimate = estimateStart(state, req, nowMs);
	let refused = admissionRefusal(req, estimate);
	const canAdmitByShedding = refused && !admissionRefusal(req, estimateStart(state, req, nowMs, req.shedOrder));
	if (canAdmitByShedding) {
		while (refused && shedLeastValuable(state, req.shedOrder, refused, effects)) {
			estimate = estimateStart(state, req, nowMs);
			refused = admissionRefusal(req, estimate);
		}
	}

	if (refused || !estimate) { // eslint-disable-line @typescript-eslint/prefer-nullish-coalescing -- either means no admission
		return refused;
	}

	const queueFullRefusal = createRefusal('overloaded', estimate.waitMs);
	if (state.queue.length >= state.options.maxQueued && !shedLeastValuable(state, req.shedOrder, queueFullRefusal, effects)) {
		return queueFullRefusal;
	}

	const {serviceMs} = estimate;
	state.queue.push({
		req, owner, token, arrivedMs: nowMs, serviceMs,
	}, state.weights.get(req.tenant) ?? 1);
	return undefined;
}

/** Sheds the least valuable queued request if its shed order is above `shedOrder`. Returns whether a request was shed. */
function shedLeastValuable(state: SchedulerState, shedOrder: number, refused: Refusal, effects: SchedulerEffect[]): boolean {
	const victim = state.queue.peekLeastValuable();
	if (!victim || victim.req.shedOrder <= shedOrder) {
		return false;
	}

	state.queue.remove(victim);
	effects.push(refusalReply(victim.token, createRefusal('overloaded', refused.retryAfterMs)), {type: 'count', metric: 'scheduler_shed_total'});
	return true;
}

function refusalReply(token: number, body: Refusal): SchedulerEffect {
	return {type: 'reply', token, body};
}

/** Removes a queued request and answers its pending placement request with a refusal, so that no state is kept for the request. */
function cancelQueuedRequest(state: SchedulerState, {owner, requestId}: EventOf<'scheduler/cancel'>): SchedulerEffect[] {
	for (const item of state.queue.queuedRequests()) {
		if (item.req.requestId === requestId && isSameOwner(item.owner, owner)) {
			state.queue.remove(item);
			return [refusalReply(item.token, createRefusal('overloaded', 0))];
		}
	}

	return [];
}

function replaceDecodeEngine(state: SchedulerState, {token, owner, reservation: id, failure, nowMs}: EventOf<'scheduler/replace'>): SchedulerEffect[] {
	const reservation = state.reservations.get(id);
	if (state.epoch === undefined || !reservation || !isSameOwner(reservation.owner, owner)) {
		return [{type: 'reply', token, body: notHolder}];
	}

	reservation.lastHeardMs = nowMs;
	const effects: SchedulerEffect[] = [];
	if (reservation.decode === failure.upstream) {
		const failed = failure.cause === 'failed' ? state.pool.engines.get(failure.upstream) : undefined;
		effects.push(...(failed ? recordEngineFailure(failed, nowMs) : []));
		const choice = chooseOtherDecode(state, reservation, nowMs);
		if (!choice) {
			return [...effects, refusalReply(token, createRefusal('overloaded', state.pool.slotHoldMs.value / Math.max(1, state.pool.decodeEngines.length)))];
		}

		moveToDecodeEngine(state, reservation, choice.decode, nowMs);
	}

	return [...effects, {type: 'reply', token, body: placedReply(state, reservation)}, ...dispatch(state, nowMs)];
}

/** Returns the decode engine that can produce the first output token soonest, other than the engine that did not accept the request. Returns undefined if no other engine has room. */
function chooseOtherDecode(state: SchedulerState, reservation: Reservation, nowMs: number): Pick<PlacementChoice, 'decode'> | undefined {
	const {pool, options} = state;
	const prefill = pool.engines.get(reservation.prefill);
	let best: PlacementChoice['decode'] | undefined;
	let bestMs = Infinity;
	for (const decode of pool.decodeEngines) {
		if (decode.spec.name === reservation.decode || !options.policy.hasDecodeRoom(pool, decode, reservation, nowMs)) {
			continue;
		}

		const costMs = decode.linkBacklogMs + decode.firstTokenLatencyMs.value + (prefill ? pool.transferMs(prefill, decode, reservation.promptTokens) : 0);
		if (costMs < bestMs) {
			bestMs = costMs;
			best = decode;
		}
	}

	return best && {decode: best};
}

function recordFailedPoll(state: SchedulerState, name: string): SchedulerEffect[] {
	const engine = state.pool.engines.get(name);
	if (!engine?.recordFailedPoll()) {
		return [];
	}

	// An unreachable engine may have restarted with an empty cache, so its entries are removed. Later cache events restore them.
	state.pool.prefixIndex.clearEngine(name);
	return [{
		type: 'log', level: 'warn', message: 'engine does not answer load polls', fields: {engine: name},
	}];
}

function findReservation(state: SchedulerState, owner: Reservation['owner'], requestId: string): Reservation | undefined {
	const id = state.reservationIdsByRequest.get(requestKey(owner, requestId));
	return id === undefined ? undefined : state.reservations.get(id);
}

function placedReply(state: SchedulerState, {id, prefill, decode}: Reservation): PlacementReply {
	return {
		kind: 'placed',
		placement: {
			reservation: id, epoch: state.epoch ?? 0, prefill, decode,
		},
	};
}

/** Places queued requests in the order of the fair queue until one has to wait. Refuses requests at the head of the queue that have exceeded their maximum wait. */
function dispatch(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (let item = state.queue.peek(nowMs); item; item = state.queue.peek(nowMs)) {
		const refused = isPastMaxWait(item, nowMs) ? overdueRefusal(state, item, nowMs) : undefined;
		if (refused) {
			state.queue.remove(item);
			effects.push(refusalReply(item.token, refused));
			continue;
		}

		const choice = state.options.policy.choose(state.pool, item.req, nowMs);
		if (!choice) {
			break;
		}

		effects.push(startRequest(state, item, choice, nowMs));
	}

	return effects;
}

/** Reserves the chosen engines, or refuses the request if it would miss its first-token target on them. */
function startRequest(state: SchedulerState, item: QueuedRequest, choice: PlacementChoice, nowMs: number): SchedulerEffect {
	const latenessMs = nowMs - item.arrivedMs + choice.estimate.totalMs - item.req.budgetMs;
	if (latenessMs > 0) {
		state.queue.remove(item);
		return refusalReply(item.token, createRefusal('deadline', latenessMs));
	}

	state.queue.dequeue(item);
	const reservation = reserve(state, item, choice, nowMs);
	return {type: 'reply', token: item.token, body: placedReply(state, reservation)};
}

function tick(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	if (state.epoch === undefined) {
		return [];
	}

	const effects = [...endRebuild(state, nowMs), ...pollOwners(state, nowMs), ...dispatch(state, nowMs), ...refuseOverdue(state, nowMs)];
	state.queue.removeIdleCustomers();
	return effects;
}

/** Refuses every queued request whose maximum wait has elapsed or that can no longer meet its first-token target. */
function refuseOverdue(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (const item of state.queue.queuedRequests()) {
		const refused = overdueRefusal(state, item, nowMs);
		if (refused) {
			state.queue.remove(item);
			effects.push(refusalReply(item.token, refused));
		}
	}

	return effects;
}
