//! A resume token is good for its own team, request and content, at any router with the secret.

mod common;

use common::BODY;
use common::REQUEST;
use common::begun;
use common::binding;
use common::first_secret;
use common::secrets;
use fulmargate_names::Incarnation;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::MAX_INDEX;
use fulmargate_relay::ResumeToken;
use fulmargate_relay::SecretFault;
use fulmargate_relay::StreamPlace;
use fulmargate_relay::TokenBinding;
use fulmargate_relay::TokenMinter;
use fulmargate_relay::TokenRefusal;
use fulmargate_relay::TokenSecrets;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const OLD: &str = "the secret of last week";
/// Characters that hold the format and both hints.
const HINT_CHARS: usize = 12;
const NEW: &str = "the secret of this week";

struct TokenCase {
    name: &'static str,
    minted_with: TokenSecrets,
    read_with: TokenSecrets,
    binding: TokenBinding,
    refusal: Option<TokenRefusal>,
}

fn check(case: &TokenCase) {
    let begun = ResumeToken { place: StreamPlace::before(7).unwrap(), ..begun(REQUEST) };
    let text = TokenMinter::new(&case.minted_with, &binding(), &begun).mint(begun.place);
    let read = ResumeToken::verify(&case.read_with, &case.binding, &text);
    assert_eq!(read, case.refusal.map_or(Ok(begun), Err), "{}", case.name);
}

/// A caller continues another team's stream, or its own with another body, and gets text that it
/// never asked for. Or a changed secret strands each stream that is open. Tokens are bound to team
/// and request, and any secret that is still accepted reads them.
#[test]
fn tokens_are_good_for_their_own_request_only() {
    let bound = |team: &str, path: &str, body: &[u8]| TokenBinding::new(&team.into(), path, body);
    let path = "/v1/completions";
    let old = || secrets(&[OLD]);
    let (other_team, other_request) = (TokenRefusal::OtherTeam, TokenRefusal::OtherRequest);
    let cases = [
        ("own", old(), old(), binding(), None),
        ("other team", old(), old(), bound("utility", path, BODY), Some(other_team)),
        ("other body", old(), old(), bound("shop", path, b"{}"), Some(other_request)),
        ("other path", old(), old(), bound("shop", "/v2/completions", BODY), Some(other_request)),
        ("rotated", old(), secrets(&[NEW, OLD]), binding(), None),
        ("ahead of its host", secrets(&[NEW, OLD]), secrets(&[OLD, NEW]), binding(), None),
        ("retired", old(), secrets(&[NEW]), binding(), Some(TokenRefusal::Forged)),
    ];
    for (name, minted_with, read_with, binding, refusal) in cases {
        check(&TokenCase { name, minted_with, read_with, binding, refusal });
    }
}

/// A caller edits its event id to reach other weights, another server or another request's text.
/// Each single change of a character, each shortening and each lengthening is refused.
#[test]
fn any_change_is_refused() {
    for request in [REQUEST, "order-17"] {
        let minter = TokenMinter::new(&first_secret(), &binding(), &begun(request));
        let text = minter.mint(StreamPlace::before(3).unwrap().finished());
        let refused = |text: &str| {
            let read = ResumeToken::verify(&first_secret(), &binding(), text);
            assert!(read.is_err(), "{text}: {read:?}");
        };
        for position in 0..text.len() {
            for character in
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_+/=. ".chars()
            {
                let mut changed = text.clone();
                changed.replace_range(position..=position, &character.to_string());
                if changed != text {
                    refused(&changed);
                }
            }
            refused(&text[..position]);
            refused(&text[position + 1..]);
        }
        for suffix in ["A", "AAAA", "="] {
            refused(&(text.clone() + suffix));
        }
    }
}

/// Two names whose digests begin alike pass the hints, which only name the reason of a refusal. The
/// code covers the digests whole, so the other team or body is refused all the same.
#[test]
fn equal_hints_do_not_authenticate() {
    let bound = |team: &str, body: &str| {
        TokenBinding::new(&team.into(), "/v1/completions", body.as_bytes())
    };
    let pairs = [
        (bound("team-21198", ""), bound("team-102730", "")),
        (bound("shop", "body-96099"), bound("shop", "body-97320")),
    ];
    for (own, other) in pairs {
        let mint = |binding: &TokenBinding| {
            TokenMinter::new(&first_secret(), binding, &begun(REQUEST)).mint(StreamPlace::default())
        };
        let text = mint(&own);
        assert_eq!(text[..HINT_CHARS], mint(&other)[..HINT_CHARS]);
        assert!(ResumeToken::verify(&first_secret(), &own, &text).is_ok());
        let read = ResumeToken::verify(&first_secret(), &other, &text);
        assert_eq!(read, Err(TokenRefusal::Forged));
    }
}

/// Whatever a token says is read back, also unauthenticated.
#[test]
fn content_is_read_back() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands over its values")]
    fn property(names: (String, String), numbers: (u64, u64, u32)) -> bool {
        let (server, request) = (names.0.as_str(), names.1.as_str());
        let (incarnation, weights, index) = numbers;
        let place = StreamPlace::before(index & MAX_INDEX).unwrap();
        let token = ResumeToken {
            server: server.into(),
            incarnation: Incarnation(incarnation),
            weights: WeightsVersion(weights),
            request_id: request.into(),
            place: if index.is_multiple_of(2) { place.finished() } else { place },
        };
        let text = TokenMinter::new(&first_secret(), &binding(), &token).mint(token.place);
        ResumeToken::peek(&text) == Some(token.clone())
            && ResumeToken::verify(&first_secret(), &binding(), &text) == Ok(token)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(1000)
        .quickcheck(property as fn((String, String), (u64, u64, u32)) -> bool);
    let upper = REQUEST.to_uppercase();
    assert!(property((String::new(), upper), (u64::MAX, u64::MAX, u32::MAX)));
    assert!(property((String::new(), REQUEST.replace('-', "")), (0, 0, 0)));
}

#[test]
fn weak_secrets_are_refused() {
    let fault = |texts: &[&str]| {
        let texts: Vec<String> = texts.iter().map(|&text| text.to_owned()).collect();
        TokenSecrets::new(&texts).err()
    };
    assert_eq!(fault(&[]), Some(SecretFault::Missing));
    assert_eq!(fault(&[OLD, "short"]), Some(SecretFault::TooShort { index: 1, bytes: 5 }));
    assert_eq!(fault(&[OLD, NEW]), None);
    assert!(!format!("{:?}", secrets(&[OLD])).contains(OLD));
}
