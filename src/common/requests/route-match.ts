import type {PlainService, Route} from '../configuration/types.js';

/** Result of parsing a request target. */
export type ParsedTarget =
	| {readonly kind: 'target'; readonly service: string; /** Path and query sent to the upstream. */ readonly pathAndQuery: string; /** Decoded path, used to match routes. */ readonly path: string}
	/** The upstream may interpret the path differently from this process. */
	| {readonly kind: 'ambiguous'};

/** Result of matching a request against the routes of a service. */
export type RouteMatch =
	| {readonly kind: 'route'; readonly route: Route}
	| {readonly kind: 'no-route'}
	| {readonly kind: 'method-not-allowed'; readonly allowed: readonly string[]};

/** Matches a request target for a plain service. Only visible ASCII characters match, since servers differ in how they interpret other raw bytes. */
const targetPattern = /^\/s\/([a-z\d-]{1,63})(\/[!"$->@-~]*)?(\?[!"$-~]*)?$/;

/**
Parses `/s/<service>/<path>?<query>`. Dot segments, empty segments, encoded slashes, backslashes and control characters
make a target ambiguous: an upstream that resolves them could serve a route other than the one that was checked.
*/
export function parseTarget(url: string): ParsedTarget {
	const match = targetPattern.exec(url);
	if (!match) {
		return {kind: 'ambiguous'};
	}

	const [, service, rawPath = '/', query = ''] = match;
	const path = decodePath(rawPath);
	return path === undefined
		? {kind: 'ambiguous'}
		: {
			kind: 'target', service: service!, pathAndQuery: rawPath + query, path,
		};
}

/** Decodes a path and removes path parameters; returns undefined if the path is ambiguous. */
function decodePath(rawPath: string): string | undefined {
	const segments: string[] = [];
	for (const segment of rawPath.split('/').slice(1)) {
		const decoded = decodeSegment(segment);
		if (decoded === undefined) {
			return undefined;
		}

		segments.push(decoded);
	}

	// Only the last segment may be empty, in a path that ends with a slash.
	const hasEmptySegment = segments.slice(0, -1).includes('');
	return hasEmptySegment ? undefined : '/' + segments.join('/');
}

/** Decodes a path segment and removes its parameters after `;`, which some servers ignore; returns undefined if the segment is ambiguous. */
function decodeSegment(segment: string): string | undefined {
	let decoded: string;
	try {
		decoded = decodeURIComponent(segment);
	} catch {
		return undefined;
	}

	// eslint-disable-next-line no-control-regex -- the pattern detects control characters
	if (/[/\\\u0000-\u001F\u007F]/.test(decoded)) {
		return undefined;
	}

	const withoutParameters = decoded.split(';', 1)[0]!;
	return withoutParameters === '.' || withoutParameters === '..' ? undefined : withoutParameters;
}

/** Whether `path` starts with `prefix` and the match ends at a segment boundary. */
function isPathPrefix(prefix: string, path: string): boolean {
	return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : prefix + '/');
}

/** Finds the route with the longest path prefix; among routes with the same path, the route that allows the method. */
export function matchRoute(service: PlainService, method: string, path: string): RouteMatch {
	const matchingRoutes = service.routes.filter(route => isPathPrefix(route.path, path));
	const longestLength = Math.max(...matchingRoutes.map(route => route.path.length));
	const candidates = matchingRoutes.filter(route => route.path.length === longestLength);
	if (candidates.length === 0) {
		return {kind: 'no-route'};
	}

	const route = candidates.find(candidate => (candidate.methods as readonly string[]).includes(method));
	return route ? {kind: 'route', route} : {kind: 'method-not-allowed', allowed: candidates.flatMap(candidate => candidate.methods)};
}
