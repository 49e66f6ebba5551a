import type {DecodeEvent, Usage} from '../upstreams/engine-api.js';

/** State of one decode request: which of its events have been delivered, so that a resumed stream continues without loss or repetition. */
export type AssemblerState = {
	readonly requestId: string;
	/** Number of the last event delivered to the caller; 0 before the first event, which has number 1. */
	lastEventNumber: number;
	/** Whether the end marker has arrived. */
	isComplete: boolean;
};

/** Result of `acceptEvent` for one event of a decode stream. Only `text` and `end` are delivered to the caller. */
export type AssemblyResult =
	| {readonly kind: 'text'; readonly text: string}
	| {readonly kind: 'end'; readonly usage: Usage}
	/** The event was already delivered; a resumed stream may repeat events. */
	| {readonly kind: 'duplicate'}
	/** At least one event between the last delivered one and this one is missing. */
	| {readonly kind: 'gap'}
	/** The event belongs to another request. */
	| {readonly kind: 'foreign'}
	/** The event arrived after the end marker. */
	| {readonly kind: 'late'};

export function createAssembler(requestId: string): AssemblerState {
	return {requestId, lastEventNumber: 0, isComplete: false};
}

/** Classifies the event and, if its number follows that of the last delivered event, records it as delivered. Text that follows a gap or belongs to another request is never delivered. */
export function acceptEvent(state: AssemblerState, event: DecodeEvent): AssemblyResult {
	if (event.requestId !== state.requestId) {
		return {kind: 'foreign'};
	}

	if (state.isComplete) {
		return {kind: 'late'};
	}

	if (event.n <= state.lastEventNumber) {
		return {kind: 'duplicate'};
	}

	if (event.n > state.lastEventNumber + 1) {
		return {kind: 'gap'};
	}

	state.lastEventNumber = event.n;
	if ('end' in event) {
		state.isComplete = true;
		return {kind: 'end', usage: event.usage};
	}

	return {kind: 'text', text: event.text};
}
