import {requestMarker} from '../../fakes/answer.js';
import {bytesPerToken} from '../common/upstreams/prompt-prefix.js';
import type {TraceRequest} from './trace.js';

/** Returns the number of tokens charged to the customer's rate limit before the request runs. For a model request it is the length of the prompt plus the maximum length of the answer. */
export function requestCost(req: TraceRequest): number {
	if (req.kind === 'plain') {
		return req.cost;
	}

	const prompt = req.shared.reduce((sum, {tokens}) => sum + tokens, 0) + req.ownTokens + Math.ceil(requestMarker(req.id).length / bytesPerToken);
	return prompt + req.maxTokens;
}
