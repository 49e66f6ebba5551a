import {readFileSync} from 'node:fs';
import process from 'node:process';
import type {Command} from 'commander';
import {parseDocumentOrThrow} from '../common/configuration/document.js';
import {settingsSchema} from '../common/configuration/settings.js';
import {ConfigurationError} from '../common/core/errors.js';
import {SystemProcess} from '../node/wiring.js';
import {exitCode} from './exit-code.js';

/** Runs a process until SIGTERM or SIGINT, which start a graceful shutdown; a second signal ends the process at once. */
async function serve(file: string): Promise<void> {
	const settings = parseDocumentOrThrow(readFileSync(file, 'utf8'), settingsSchema, file);
	const systemProcess = await SystemProcess.start(settings);
	let isStopping = false;
	const stop = async () => {
		if (isStopping) {
			process.exit(exitCode.failed); // eslint-disable-line unicorn/no-process-exit -- a second signal skips the graceful shutdown
		}

		isStopping = true;
		await systemProcess.stop();
		process.exit(exitCode.ok); // eslint-disable-line unicorn/no-process-exit -- pooled connections would delay the exit
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
}

/** Adds the `serve` subcommand. */
export function registerServe(program: Command): void {
	program.command('serve')
		.description('run one process of the system with the roles of its settings')
		.requiredOption('--settings <file>', 'YAML file with the settings of this process')
		.addHelpText('after', '\nExample:\n  $ jasminehead serve --settings examples/bereket/entry-1.yaml')
		.addHelpText('after', '\nExit codes: 0 after a graceful shutdown, 1 when stopped twice, 2 faulty settings, 3 an address or file cannot be used')
		.action(async ({settings}: {settings: string}) => {
			try {
				await serve(settings);
			} catch (err) {
				console.error(`jasminehead: ${err instanceof Error ? err.message : String(err)}`);
				// Exits explicitly, since components that have already started would keep the process alive.
				process.exit(err instanceof ConfigurationError ? exitCode.invalidInput : exitCode.unreachable); // eslint-disable-line unicorn/no-process-exit -- see the comment above
			}
		});
}
