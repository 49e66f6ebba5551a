import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import restana from 'restana';
import type {MemoryPlan} from '../../common/memory/memory-plan.js';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {chooseEntryRegions} from '../../common/forwarding/allowed-regions.js';
import type {RegionByZone} from '../../common/forwarding/allowed-regions.js';
import {sampleEntryPoints} from '../../common/membership/entry-point-sample.js';
import type {MemberRecord} from '../../common/membership/types.js';
import {splitAddress} from '../address.js';
import type {ControlAdminClient} from '../control/control-admin-client.js';
import type {EvacuationOrders} from '../control/evacuation-orders.js';
import {startListening} from '../entry/caller-listener.js';
import type {PromMetrics} from '../observability/prom-metrics.js';
import {stringifyState} from '../operators/operator-server.js';
import type {MemoryKeeper} from '../memory/memory-keeper.js';
import {BodyCollector} from '../memory/body-collector.js';
import {ConnectionGuard} from '../memory/connection-guard.js';
import type {RequestIntake} from '../memory/request-intake.js';
import type {FleetProtocol} from './fleet-protocol.js';

/** Time for which a caller may use an entry-point answer before it has to ask again, in milliseconds. */
export const entryAnswerValidityMs = 2000;
/** Maximum number of entry VMs in one entry-point answer. */
const maxEntryPoints = 64;
/** Maximum size of a published configuration, in bytes. */
const configurationLimitBytes = 8 * 1024 * 1024;
/** Timeout of the operation on the replicated state that an operator's call starts, in milliseconds; longer than the second or so after which an operator tries another process. */
const operatorTimeoutMs = 2500;
/** Time in which a call must arrive in full, in milliseconds; an operator tries another process long before. */
const requestTimeoutMs = 10_000;
/** Interval at which connections are checked for calls that have not arrived in full, in milliseconds. */
const requestCheckIntervalMs = 500;
/** Maximum length of the name of an availability zone. */
const maxZoneNameLength = 128;

export type FleetHttpServersOptions = {
	readonly protocol: FleetProtocol;
	readonly adminClient: ControlAdminClient;
	readonly evacuations: EvacuationOrders;
	/** Whether the deployment has an availability zone of this name. */
	readonly isKnownZone: (zone: string) => boolean;
	readonly memory: MemoryKeeper;
	readonly plan: MemoryPlan;
	readonly intake: RequestIntake;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly members: () => readonly MemberRecord[];
	/** Returns the regions that each route of a host names, without the routes that name none. */
	readonly namedRegions: (host: string) => string[][];
	readonly regionByZone: RegionByZone;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
	readonly isReady: () => boolean;
	readonly listen: {readonly operators: string; readonly ready: string; readonly directory: string; readonly metrics: string};
	readonly metrics: PromMetrics;
	/** Returns the state of the process for the state dump; must not contain secrets. */
	readonly dump: () => unknown;
};

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

/** HTTP servers for operators, readiness checks of the platform, entry-point queries of callers, and metrics with the state dump. */
export class FleetHttpServers implements Disposable {
	static async start(options: FleetHttpServersOptions): Promise<FleetHttpServers> {
		const httpServers = new FleetHttpServers(options);
		const {protocol: {paths}} = options;
		await httpServers._listen('operators', service => {
			service.put(paths.configuration, httpServers._handleErrors(async (req, res) => httpServers._publishConfiguration(req, res)));
			service.get(paths.configuration, httpServers._handleErrors(async (_req, res) => httpServers._sendConfiguration(res)));
			service.post(`${paths.evacuations}/:zone`, httpServers._handleErrors(async (req, res) => httpServers._setEvacuation(req, res, true)));
			service.delete(`${paths.evacuations}/:zone`, httpServers._handleErrors(async (req, res) => httpServers._setEvacuation(req, res, false)));
		});
		await httpServers._listen('ready', service => {
			service.get(paths.ready, (_req, res) => {
				res.writeHead(options.isReady() ? 200 : 503);
				res.end();
			});
		});
		await httpServers._listen('directory', service => {
			service.get(paths.entryPoints, httpServers._handleErrors((req, res) => {
				httpServers._sendEntryPoints(req, res);
			}));
		});
		await httpServers._listen('metrics', service => {
			service.get('/metrics', httpServers._handleErrors(async (_req, res) => {
				options.memory.updateGauges();
				res.writeHead(200, {'content-type': options.metrics.contentType});
				res.end(await options.metrics.render());
			}));
			service.get('/state', httpServers._handleErrors((_req, res) => {
				sendJson(res, 200, stringifyState(options.dump()));
			}));
		});
		return httpServers;
	}

	private readonly _servers: Server[] = [];
	private readonly _guards: ConnectionGuard[] = [];

	private constructor(private readonly _options: FleetHttpServersOptions) {}

	async dispose(): Promise<void> {
		for (const guard of this._guards) {
			guard.dispose();
		}

		await Promise.all(this._servers.map(async server => {
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			server.closeAllConnections();
			await closed;
		}));
	}

	private async _listen(name: keyof FleetHttpServersOptions['listen'], addRoutes: (service: restana.Service<restana.Protocol.HTTP>) => void): Promise<void> {
		const {plan: {maxServiceCallers, serviceHeadBytes}, listen} = this._options;
		const server = createServer({requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs, connectionsCheckingInterval: requestCheckIntervalMs});
		const guard = new ConnectionGuard({
			...this._options, ports: name, maxConnections: maxServiceCallers, headBytes: serviceHeadBytes,
		});
		this._guards.push(guard);
		guard.watch(server);
		addRoutes(restana({server, prioRequestsProcessing: false}));
		const {host, port} = splitAddress(listen[name]);
		await startListening(server, host, port);
		this._servers.push(server);
	}

	private _handleErrors(handler: Handler): Handler {
		return async (req, res) => {
			try {
				await handler(req, res);
			} catch (err) {
				this._options.logger.log('warn', 'call failed', {method: req.method, url: req.url, detail: err instanceof Error ? err.message : String(err)});
				if (!res.headersSent) {
					sendJson(res, 503, JSON.stringify({error: 'not available at the moment'}));
				}
			}
		};
	}

	private async _publishConfiguration(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {protocol, adminClient, logger} = this._options;
		const source = await this._readText(req, res);
		if (source === undefined) {
			sendJson(res, 413, JSON.stringify({error: 'the configuration is too large'}));
			return;
		}

		const parsed = protocol.parseConfiguration(source);
		if (!parsed.ok) {
			logger.log('warn', 'configuration refused', {reason: parsed.reason, bytes: source.length});
			sendJson(res, 400, JSON.stringify({error: parsed.reason}));
			return;
		}

		const result = await adminClient.publishConfiguration({version: parsed.version, source, configuration: parsed.configuration}, operatorTimeoutMs);
		if (result.kind !== 'published') {
			logger.log('warn', 'configuration refused', {version: parsed.version, reason: result.code});
			sendJson(res, 400, JSON.stringify({error: result.code}));
			return;
		}

		logger.log('info', 'configuration acknowledged', {version: parsed.version, inForce: result.version, isChanged: result.isChanged});
		sendJson(res, 200, JSON.stringify({version: result.version}));
	}

	/** Evacuates a zone or withdraws its evacuation. Answers once a quorum has stored the change. The withdrawal for an unknown zone changes nothing. */
	private async _setEvacuation(req: IncomingMessage, res: ServerResponse, isEvacuated: boolean): Promise<void> {
		const {evacuations, isKnownZone, logger, metrics} = this._options;
		const zone = decodeName((req as IncomingMessage & {params: Record<string, string>}).params.zone!);
		if (zone === undefined || (isEvacuated && !isKnownZone(zone))) {
			logger.log('warn', 'evacuation refused', {zone, isEvacuated, reason: 'unknown zone'});
			sendJson(res, 404, JSON.stringify({error: 'the deployment has no zone of this name'}));
			return;
		}

		const {socket} = req;
		const result = await evacuations.execute({zone, isEvacuated, isAwaited: () => !socket.destroyed && !socket.readableEnded}, operatorTimeoutMs);
		metrics.count('evacuation_orders_total', {outcome: result.kind});
		if (result.kind === 'done') {
			logger.log('info', 'evacuation acknowledged', {
				zone, isEvacuated, revision: result.revision, isChanged: result.isChanged,
			});
			sendJson(res, 200, JSON.stringify({zone, evacuated: isEvacuated}));
			return;
		}

		const reason = result.kind === 'refused' ? result.code : 'the operator left';
		logger.log('warn', 'evacuation not carried out', {zone, isEvacuated, reason});
		sendJson(res, 503, JSON.stringify({error: reason}));
	}

	/** Reads a body as UTF-8 text; undefined if it is too large. Rejects if there is no memory for it, or if it stalls while others need its memory. */
	private async _readText(req: IncomingMessage, res: ServerResponse): Promise<string | undefined> {
		const holding = this._options.memory.open('configuration', undefined, () => {
			req.destroy(new Error('the body stalled while memory was needed'));
		});
		const collector = new BodyCollector(holding);
		res.once('close', () => {
			holding.release();
		});
		const isWhole = await new Promise<boolean>((resolve, reject) => {
			const onData = (chunk: Uint8Array) => {
				if (collector.length + chunk.length > configurationLimitBytes) {
					resolve(false);
				} else if (collector.add(chunk)) {
					return;
				}

				req.off('data', onData).resume();
				collector.drop();
				reject(new Error('no memory is left for a configuration'));
			};

			req.on('data', onData);
			req.once('end', () => {
				resolve(true);
			});
			req.once('error', reject);
			req.once('close', () => {
				reject(new Error('the connection closed within the body'));
			});
		});
		return isWhole ? new TextDecoder().decode(collector.take()) : undefined;
	}

	private async _sendConfiguration(res: ServerResponse): Promise<void> {
		const {source} = await this._options.adminClient.getConfiguration(undefined, operatorTimeoutMs);
		if (source === undefined) {
			sendJson(res, 503, JSON.stringify({error: 'no configuration was published yet'}));
			return;
		}

		sendJson(res, 200, source);
	}

	/**
	Sends the addresses of the live entry VMs that are not draining, those in the caller's zone first and large ones more often. Sends suspect VMs only if no such VM is alive.
	If routes of the host name regions, VMs in other regions than these and the caller's are left out.
	*/
	private _sendEntryPoints(req: IncomingMessage, res: ServerResponse): void {
		const {protocol, members, namedRegions, regionByZone, random} = this._options;
		const {host, zone, region} = protocol.readEntryPointQuery(new URL(req.url!, 'http://directory').searchParams);
		const usable = members().filter(({roles, status, isDraining}) => roles.includes('entry') && status !== 'dead' && !isDraining);
		const alive = usable.filter(({status}) => status === 'alive');
		const allowed = chooseEntryRegions(alive.length > 0 ? alive : usable, {
			namedRegions: host === undefined ? [] : namedRegions(host), callerRegion: region ?? regionByZone.get(zone ?? ''), regionByZone,
		});
		const chosen = sampleEntryPoints(allowed, {zone, maxCount: maxEntryPoints, random});
		sendJson(res, 200, protocol.entryPointAnswer(chosen.flatMap(({callerAddress}) => callerAddress ?? []), entryAnswerValidityMs));
	}
}

function sendJson(res: ServerResponse, status: number, body: string): void {
	res.writeHead(status, {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length});
	res.end(body);
}

/** Decodes a name from a path; undefined if it is malformed or too long. */
function decodeName(encoded: string): string | undefined {
	try {
		const name = decodeURIComponent(encoded);
		return name.length > 0 && name.length <= maxZoneNameLength ? name : undefined;
	} catch {
		return undefined;
	}
}
