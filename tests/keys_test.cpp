#include <ibishinge/base/secret.h>
#include <ibishinge/state/keys_record.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdio>
#include <fstream>
#include <set>
#include <string>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

issued_key issue(const std::string &team)
{
    return makeKey(
        team, {*randomHex(keyIdBytes), *randomHex(keySaltBytes), *randomHex(keySecretBytes)}, 1ms);
}

catalogue catalogueWithTwoTeams()
{
    catalogue document;
    document.teams = {{"amber", "o", work_class::normal, 1, 1},
                      {"birch", "o", work_class::normal, 1, 1}};
    return document;
}

} // namespace

/// Guards against work that is accepted without a valid key of its team, and against error messages
/// or stored data that disclose a secret or whether it is valid.
class keys_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(keys_test);
    CPPUNIT_TEST(authorizationFollowsAccessRuleAndKey);
    CPPUNIT_TEST(refusalsHaveTheSameMessage);
    CPPUNIT_TEST(onlyTheExactKeyIsAccepted);
    CPPUNIT_TEST(storedKeysContainNoSecret);
    CPPUNIT_TEST(listRoundTrips);
    CPPUNIT_TEST(faultyListsAreReported);
    CPPUNIT_TEST(listIsBounded);
    CPPUNIT_TEST(firstRevocationTimeIsKept);
    CPPUNIT_TEST(shortSecretFileIsRejectedWithoutItsContent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_amber = issue("amber");
        m_revoked = issue("amber");
        m_birch = issue("birch");
        m_gone = issue("gone");
        for (const auto *key : {&m_amber, &m_revoked, &m_birch, &m_gone}) {
            CPPUNIT_ASSERT(addKey(m_keys, key->record, 2ms).has_value());
        }
        CPPUNIT_ASSERT(revokeKey(m_keys, m_revoked.record.id, 3ms).has_value());
    }

    void authorizationFollowsAccessRuleAndKey()
    {
        const access_rule open {true, {}};
        const access_rule amberOnly {false, {"amber", "gone"}};
        struct row
        {
            const char *what;
            const access_rule &access;
            std::string team;
            std::string key;
            bool allowed;
        };
        const std::vector<row> rows {
            {"own key", amberOnly, "amber", m_amber.plaintext, true},
            {"revoked key", amberOnly, "amber", m_revoked.plaintext, false},
            {"key of another team", amberOnly, "amber", m_birch.plaintext, false},
            {"other team's name with own key", amberOnly, "birch", m_amber.plaintext, false},
            {"team that is not listed", amberOnly, "birch", m_birch.plaintext, false},
            {"team that left the catalogue", amberOnly, "gone", m_gone.plaintext, false},
            {"no key", amberOnly, "amber", "", false},
            {"only the team part", amberOnly, "amber", "amber.", false},
            {"no team", amberOnly, "", m_amber.plaintext, false},
            {"no team and no key", amberOnly, "", "", false},
            {"stored hash as key", amberOnly, "amber", "amber." + m_amber.record.hash, false},
            {"open to all, no key", open, "", "", true},
            {"open to all, revoked key", open, "amber", m_revoked.plaintext, true},
        };
        for (const auto &r : rows) {
            const auto allowed =
                authorize(m_keys, catalogueWithTwoTeams(), r.access, r.team, r.key);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.what, r.allowed, allowed.has_value());
            if (!allowed) {
                CPPUNIT_ASSERT(allowed.error().kind == error_kind::unauthorized);
            }
        }
    }

    void refusalsHaveTheSameMessage()
    {
        const access_rule access {false, {"amber", "gone"}};
        std::set<std::string> texts;
        for (const auto &[team, key] :
             std::vector<std::pair<std::string, std::string>> {{"amber", issue("amber").plaintext},
                                                               {"amber", m_revoked.plaintext},
                                                               {"amber", m_birch.plaintext},
                                                               {"amber", ""},
                                                               {"gone", m_gone.plaintext}}) {
            const auto refused = authorize(m_keys, catalogueWithTwoTeams(), access, team, key);
            texts.insert(describe(refused.error()));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), texts.size());
    }

    void onlyTheExactKeyIsAccepted()
    {
        CPPUNIT_ASSERT(rc::check("a changed key is refused and not repeated", [this] {
            std::string key = m_amber.plaintext;
            const auto position = *rc::gen::inRange<std::size_t>(0, key.size() + 1);
            const auto letter = *rc::gen::arbitrary<char>();
            const int edit = *rc::gen::inRange(0, 3);
            if (edit == 0) {
                key.insert(position, 1, letter);
            } else if (position < key.size() && edit == 1) {
                key.erase(position, 1);
            } else if (position < key.size()) {
                RC_PRE(key[position] != letter);
                key[position] = letter;
            }
            RC_PRE(key != m_amber.plaintext);
            const auto refused = authorize(m_keys, catalogueWithTwoTeams(),
                                           access_rule {false, {"amber"}}, "amber", key);
            RC_ASSERT(!refused.has_value());
            const std::string secret = m_amber.plaintext.substr(m_amber.plaintext.find('.') + 1);
            RC_ASSERT(describe(refused.error()).find(secret) == std::string::npos);
        }));
    }

    void storedKeysContainNoSecret()
    {
        const std::string stored = encodeKeys(m_keys);
        for (const auto *key : {&m_amber, &m_revoked, &m_birch}) {
            const std::string secret = key->plaintext.substr(key->plaintext.find('.') + 1);
            CPPUNIT_ASSERT_EQUAL(2 * keySecretBytes, secret.size());
            CPPUNIT_ASSERT(stored.find(secret) == std::string::npos);
        }
    }

    void listRoundTrips()
    {
        const auto read = decodeKeys(encodeKeys(m_keys));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(encodeKeys(m_keys), encodeKeys(*read));
        CPPUNIT_ASSERT(read->keys[1].revokedAt == 3ms);
    }

    void faultyListsAreReported()
    {
        const std::vector<std::pair<std::string, std::string>> cases {
            {"", ""},
            {"[]", ""},
            {R"({"schema":2,"keys":[]})", "/schema"},
            {R"({"schema":1})", "/keys"},
            {R"({"schema":1,"keys":[1]})", "/keys/0"},
            {R"({"schema":1,"keys":[],"keys":[]})", "/keys"},
            {R"({"schema":1,"keys":[],"more":1})", "/more"},
        };
        for (const auto &[text, pointer] : cases) {
            const auto read = decodeKeys(text);
            CPPUNIT_ASSERT_MESSAGE(text, !read.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, pointer, read.error().front().pointer);
        }
    }

    void listIsBounded()
    {
        key_list list;
        for (std::size_t i = 0; i < maxKeys; ++i) {
            key_record record = m_amber.record;
            record.id = "k" + std::to_string(i);
            CPPUNIT_ASSERT(addKey(list, record, 1ms).has_value());
        }
        CPPUNIT_ASSERT(addKey(list, m_birch.record, 1ms).error().kind == error_kind::too_large);
        CPPUNIT_ASSERT(revokeKey(list, "k7", 1ms).has_value());
        CPPUNIT_ASSERT(encodeKeys(list).size() < (1U << 20U));
        CPPUNIT_ASSERT(!addKey(list, m_birch.record, 1ms + revokedKeyRetention).has_value());
        CPPUNIT_ASSERT(addKey(list, m_birch.record, 2ms + revokedKeyRetention).has_value());
    }

    void firstRevocationTimeIsKept()
    {
        CPPUNIT_ASSERT(revokeKey(m_keys, m_revoked.record.id, 9ms).has_value());
        CPPUNIT_ASSERT(m_keys.keys[1].revokedAt == 3ms);
        CPPUNIT_ASSERT(revokeKey(m_keys, "none", 9ms).error().kind == error_kind::unknown_entity);
    }

    void shortSecretFileIsRejectedWithoutItsContent()
    {
        const std::string path = "keys_test_secret.tmp";
        std::ofstream(path) << "tooshort\n";
        const auto shortSecret = readSecretFile(path);
        std::ofstream(path) << "0123456789abcdef\nsecond line\n";
        const auto good = readSecretFile(path);
        std::remove(path.c_str());
        CPPUNIT_ASSERT(!shortSecret.has_value());
        CPPUNIT_ASSERT(describe(shortSecret.error()).find("tooshort") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef"), *good);
        CPPUNIT_ASSERT(!readSecretFile(path).has_value());
    }

private:
    issued_key m_amber;
    issued_key m_revoked;
    issued_key m_birch;
    issued_key m_gone;
    key_list m_keys;
};

CPPUNIT_TEST_SUITE_REGISTRATION(keys_test);
