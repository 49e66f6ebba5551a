import {readFileSync} from 'node:fs';
import process from 'node:process';
import {InvalidArgumentError} from 'commander';
import type {Command} from 'commander';
import {checkDocument} from '../common/configuration/document.js';
import {sharedConfigurationSchema} from '../common/configuration/shared.js';
import {exitCode} from './exit-code.js';
import {callOperatorApi, withChangeId, withOperatorOptions} from './operator-client.js';
import type {OperatorOptions} from './operator-client.js';
import {describeJson, printReply} from './output.js';

type ApplyOptions = OperatorOptions & {readonly expectedVersion: number};

function parseVersion(text: string): number {
	if (!/^\d+$/.test(text)) {
		throw new InvalidArgumentError('write a whole number');
	}

	return Number(text);
}

/** Validates the file before sending it, so that issues are printed with line numbers even when no process answers. */
async function applyFile(file: string, options: ApplyOptions): Promise<void> {
	const source = readFileSync(file, 'utf8');
	const checked = checkDocument(source, sharedConfigurationSchema);
	if (!checked.ok) {
		for (const issue of checked.issues) {
			console.error(`${file}:${issue.line}: ${issue.path || '(document)'}: ${issue.message}`);
		}

		process.exitCode = exitCode.invalidInput;
		return;
	}

	const {changeId, expectedVersion} = options;
	const reply = await callOperatorApi(options, 'PUT', '/v1/config', {changeId, expectedVersion, source});
	printReply(options, reply, body => `version ${(body as {version: number}).version} accepted`);
}

/** Adds the subcommands `config get`, `config apply` and `config history`. */
export function registerConfig(program: Command): void {
	const config = program.command('config').description('read and change the shared configuration');
	withOperatorOptions(config.command('get').description('print the current shared configuration'))
		.addHelpText('after', '\nExample:\n  $ jasminehead config get --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (options: OperatorOptions) => {
			const reply = await callOperatorApi(options, 'GET', '/v1/config');
			printReply(options, reply, body => {
				const {version, source} = body as {version: number; source: string};
				return `# version ${version}\n${source}`;
			});
		});
	withChangeId(withOperatorOptions(config.command('apply').description('replace the shared configuration if its version is still the expected one')))
		.argument('<file>', 'YAML file')
		.requiredOption('--expected-version <n>', 'version that this change was made from; 0 for the first', parseVersion)
		.addHelpText('after', '\nExample:\n  $ jasminehead config apply --operators 127.0.0.1:9100 --token "$TOKEN" --expected-version 3 configuration.yaml')
		.addHelpText('after', '\nExit codes: 0 accepted, 1 conflict or no quorum, 2 faulty file, 3 no answer')
		.action(applyFile);
	withOperatorOptions(config.command('history').description('list accepted changes'))
		.addHelpText('after', '\nExample:\n  $ jasminehead config history --operators 127.0.0.1:9100 --token "$TOKEN" --json')
		.action(async (options: OperatorOptions) => {
			printReply(options, await callOperatorApi(options, 'GET', '/v1/config/history'), describeJson);
		});
}
