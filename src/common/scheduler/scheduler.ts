import type {PlaceReply} from '../services/scheduler-client.js';
import {
	admissionRefusal, estimateStart, isPastBound, overdueRefusal, refusal,
} from './admission.js';
import type {Refusal} from './admission.js';
import {FairQueue} from './fair-queue.js';
import type {QueuedRequest} from './fair-queue.js';
import {
	applyReport, cancelOrphans, isDead, updateEntries, watchOwners,
} from './owners.js';
import type {PlacementChoice} from './policy.js';
import {applyProgress, engineFailed} from './progress.js';
import {
	clearReservations, isSameOwner, moveDecode, requestKey, reserve,
} from './state.js';
import type {Reservation, SchedulerState} from './state.js';
import type {NotHolder, SchedulerEffect, SchedulerEvent} from './types.js';

export {createScheduler} from './state.js';
export type {SchedulerOptions, SchedulerState} from './state.js';

type EventOf<Type extends SchedulerEvent['type']> = Extract<SchedulerEvent, {type: Type}>;

const notHolder: NotHolder = {kind: 'not-holder'};

/** Places requests on the engines of one pool shard; updates the state in place. */
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
			return [...updateEntries(state, event.entries, event.nowMs), ...dispatch(state, event.nowMs)];
		}

		case 'scheduler/place': {
			return place(state, event);
		}

		case 'scheduler/cancel': {
			return cancel(state, event);
		}

		case 'scheduler/replace': {
			return replace(state, event);
		}

		case 'scheduler/progress': {
			return [...applyProgress(state, event.owner, event.progress, event.nowMs), ...dispatch(state, event.nowMs)];
		}

		case 'scheduler/report': {
			applyReport(state, event);
			return [...endRebuild(state, event.nowMs), ...dispatch(state, event.nowMs)];
		}

		case 'scheduler/load': {
			state.pool.engines.get(event.engine)?.loadReported(event.load);
			return dispatch(state, event.nowMs);
		}

		case 'scheduler/poll-failed': {
			return pollFailed(state, event.engine);
		}

		case 'scheduler/cache-events': {
			const hasGap = state.pool.index.apply(event.engine, event.after, event.reply);
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
		return abandonQueue(state);
	}

	return epoch === 0 ? [] : startRebuild(state, nowMs);
}

/** Sends every waiting caller to the new holder. */
function abandonQueue(state: SchedulerState): SchedulerEffect[] {
	const effects = state.queue.waiting().map(({token}) => ({type: 'reply', token, body: notHolder}) as const);
	state.queue = new FairQueue();
	return effects;
}

function startRebuild(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	for (const engine of state.pool.engines.values()) {
		engine.load = undefined;
	}

	state.pool.isRebuilding = true;
	state.rebuild = {untilMs: nowMs + state.options.rebuildMs, waitingFor: new Set(state.liveEntries.keys())};
	return [
		{
			type: 'log', level: 'info', message: 'scheduler lease acquired', fields: {epoch: state.epoch},
		},
		...[...state.liveEntries].map(([vm, incarnation]) => ({type: 'scheduler/ask-report', to: {vm, incarnation}}) as const),
	];
}

/** Ends the rebuild once all live entry processes reported, or when the time is over. */
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

	if (isDead(state, owner)) {
		return [refuse(token, refusal('overloaded', 0))];
	}

	const existing = findReservation(state, owner, req.requestId);
	if (existing) {
		return [{type: 'reply', token, body: placedReply(state, existing)}];
	}

	const effects = cancel(state, {...event, type: 'scheduler/cancel', requestId: req.requestId});
	const refused = admit(state, event, effects);
	if (refused) {
		return [...effects, refuse(token, refused)];
	}

	effects.push(...dispatch(state, nowMs));
	// A request that must not wait is answered in the same event.
	return req.maxWaitMs > 0 ? effects : [...effects, ...refuseOverdue(state, nowMs)];
}

/** Queues the request unless it is refused; sheds less valuable requests where that lets it in. */
function admit(state: SchedulerState, {token, owner, req, nowMs}: EventOf<'scheduler/place'>, effects: SchedulerEffect[]): Refusal | undefined {
	let estimate = estimateStart(state, req, nowMs);
	let refused = admissionRefusal(req, estimate);
	const helpsToShed = refused && !admissionRefusal(req, estimateStart(state, req, nowMs, req.shedOrder));
	if (helpsToShed) {
		while (refused && shedFor(state, req.shedOrder, refused, effects)) {
			estimate = estimateStart(state, req, nowMs);
			refused = admissionRefusal(req, estimate);
		}
	}

	if (refused || !estimate) { // eslint-disable-line @typescript-eslint/prefer-nullish-coalescing -- either means no admission
		return refused;
	}

	const full = refusal('overloaded', estimate.waitMs);
	if (state.queue.length >= state.options.maxQueued && !shedFor(state, req.shedOrder, full, effects)) {
		return full;
	}

	const {serviceMs} = estimate;
	state.queue.push({
		req, owner, token, arrivedMs: nowMs, serviceMs,
	}, state.weights.get(req.tenant) ?? 1);
	return undefined;
}

/** Refuses the least valuable queued request if its shed order is higher than the given one. */
function shedFor(state: SchedulerState, shedOrder: number, refused: Refusal, effects: SchedulerEffect[]): boolean {
	const victim = state.queue.leastValuable();
	if (!victim || victim.req.shedOrder <= shedOrder) {
		return false;
	}

	state.queue.remove(victim);
	effects.push(refuse(victim.token, refusal('overloaded', refused.retryAfterMs)), {type: 'count', metric: 'scheduler_shed_total'});
	return true;
}

function refuse(token: number, body: Refusal): SchedulerEffect {
	return {type: 'reply', token, body};
}

/** Withdraws a queued request; its own waiter is answered so that nothing is held for it. */
function cancel(state: SchedulerState, {owner, requestId}: EventOf<'scheduler/cancel'>): SchedulerEffect[] {
	for (const item of state.queue.waiting()) {
		if (item.req.requestId === requestId && isSameOwner(item.owner, owner)) {
			state.queue.remove(item);
			return [refuse(item.token, refusal('overloaded', 0))];
		}
	}

	return [];
}

function replace(state: SchedulerState, {token, owner, reservation: id, failure, nowMs}: EventOf<'scheduler/replace'>): SchedulerEffect[] {
	const reservation = state.reservations.get(id);
	if (state.epoch === undefined || !reservation || !isSameOwner(reservation.owner, owner)) {
		return [{type: 'reply', token, body: notHolder}];
	}

	reservation.heardMs = nowMs;
	const effects: SchedulerEffect[] = [];
	if (reservation.decode === failure.upstream) {
		const failed = failure.cause === 'failed' ? state.pool.engines.get(failure.upstream) : undefined;
		effects.push(...(failed ? engineFailed(failed, nowMs) : []));
		const choice = chooseOtherDecode(state, reservation, nowMs);
		if (!choice) {
			return [...effects, refuse(token, refusal('overloaded', state.pool.hold.value / Math.max(1, state.pool.decodeEngines.length)))];
		}

		moveDecode(state, reservation, choice.decode, nowMs);
	}

	return [...effects, {type: 'reply', token, body: placedReply(state, reservation)}, ...dispatch(state, nowMs)];
}

/** The decode engine that the prefill result reaches first, other than the one that failed. */
function chooseOtherDecode(state: SchedulerState, reservation: Reservation, nowMs: number): Pick<PlacementChoice, 'decode'> | undefined {
	const {pool, options} = state;
	const prefill = pool.engines.get(reservation.prefill);
	let best: PlacementChoice['decode'] | undefined;
	let bestMs = Infinity;
	for (const decode of pool.decodeEngines) {
		if (decode.spec.name === reservation.decode || !options.policy.hasRoom(pool, decode, reservation, nowMs)) {
			continue;
		}

		const costMs = decode.linkBacklogMs + decode.firstTokenSpeed.value + (prefill ? pool.transferMs(prefill, decode, reservation.promptTokens) : 0);
		if (costMs < bestMs) {
			bestMs = costMs;
			best = decode;
		}
	}

	return best && {decode: best};
}

function pollFailed(state: SchedulerState, name: string): SchedulerEffect[] {
	const engine = state.pool.engines.get(name);
	if (!engine?.pollFailed()) {
		return [];
	}

	// An engine that cannot be asked may have restarted; its cache events will tell what it holds.
	state.pool.index.invalidate(name);
	return [{
		type: 'log', level: 'warn', message: 'engine does not answer load polls', fields: {engine: name},
	}];
}

function findReservation(state: SchedulerState, owner: Reservation['owner'], requestId: string): Reservation | undefined {
	const id = state.byRequest.get(requestKey(owner, requestId));
	return id === undefined ? undefined : state.reservations.get(id);
}

function placedReply(state: SchedulerState, {id, prefill, decode}: Reservation): PlaceReply {
	return {
		kind: 'placed',
		placement: {
			reservation: id, epoch: state.epoch ?? 0, prefill, decode,
		},
	};
}

/** Places waiting requests in fair order until one has to wait; refuses those that can no longer make it. */
function dispatch(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (let item = state.queue.peek(nowMs); item; item = state.queue.peek(nowMs)) {
		const refused = isPastBound(item, nowMs) ? overdueRefusal(state, item, nowMs) : undefined;
		if (refused) {
			state.queue.remove(item);
			effects.push(refuse(item.token, refused));
			continue;
		}

		const choice = state.options.policy.choose(state.pool, item.req, nowMs);
		if (!choice) {
			break;
		}

		effects.push(start(state, item, choice, nowMs));
	}

	return effects;
}

/** Reserves the chosen engines, unless even they would miss the target. */
function start(state: SchedulerState, item: QueuedRequest, choice: PlacementChoice, nowMs: number): SchedulerEffect {
	const lateMs = nowMs - item.arrivedMs + choice.estimate.totalMs - item.req.budgetMs;
	if (lateMs > 0) {
		state.queue.remove(item);
		return refuse(item.token, refusal('deadline', lateMs));
	}

	state.queue.take(item);
	const reservation = reserve(state, item, choice, nowMs);
	return {type: 'reply', token: item.token, body: placedReply(state, reservation)};
}

function tick(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	if (state.epoch === undefined) {
		return [];
	}

	const effects = [...endRebuild(state, nowMs), ...watchOwners(state, nowMs), ...dispatch(state, nowMs), ...refuseOverdue(state, nowMs)];
	state.queue.compact();
	return effects;
}

/** Answers every waiting request whose bound is over or whose target is out of reach. */
function refuseOverdue(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (const item of state.queue.waiting()) {
		const refused = overdueRefusal(state, item, nowMs);
		if (refused) {
			state.queue.remove(item);
			effects.push(refuse(item.token, refused));
		}
	}

	return effects;
}
